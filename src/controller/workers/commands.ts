/** Commands to workers, derived from the state of assignments. */
import type { Assignment, StopRequest } from '../model/entities.js';
import type { Settings } from '../settings/settings.js';
import type { Heartbeat, WorkerCommand } from '../wire/workers.js';

/** A save that takes longer than this many times its announced time is cut short. */
const MAX_SAVE_TIME_RATIO = 2;

/** The command to start a recorded assignment. */
export function startCommand({ name, attempt }: Assignment): WorkerCommand {
  return { op: 'start', name, attempt };
}

/** The command to stop an assignment, with so many seconds to save a checkpoint. */
export function stopCommand({ name, attempt }: Assignment, graceS: number): WorkerCommand {
  return { op: 'stop', name, attempt, graceS };
}

/**
 * Adds the command, if any, that the response to the heartbeat carries for the assignment. An
 * assignment whose start is added counts as sent.
 */
export function addCommand(
  assignment: Assignment,
  heartbeat: Pick<Heartbeat, 'agentEpoch' | 'sequence'>,
  commands: WorkerCommand[],
  settings: Settings,
  now: number,
): void {
  const { phase, stop } = assignment;
  if (assignment.agentEpoch !== heartbeat.agentEpoch) return;
  if (phase === 'recorded') {
    commands.push(startCommand(assignment));
    assignment.phase = 'sent';
    assignment.startSentSequence = heartbeat.sequence;
    return;
  }
  if ((phase !== 'seen' && phase !== 'sent') || stop === null) return;
  if (assignment.state !== 'saving') commands.push(stopCommand(assignment, stop.graceS));
  else if (isSaveOverdue(assignment, stop, settings, now))
    commands.push(stopCommand(assignment, 0));
}

/** Whether a task that is saving should have ended long ago, or is to end without a checkpoint. */
function isSaveOverdue(
  { checkpointSaveS }: Assignment,
  stop: StopRequest,
  settings: Settings,
  now: number,
): boolean {
  const maxSaveS = checkpointSaveS * MAX_SAVE_TIME_RATIO + settings.platform.workers.gangPeerExitS;
  const allowedMs = maxSaveS * 1000 + settings.heartbeatIntervalMs;
  return stop.graceS === 0 || now - stop.requestedAt > allowedMs;
}
