/** Derives the commands to workers from the state of assignments. */
import type { Assignment, StopRequest } from '../model/entities.js';
import type { Settings } from '../settings/settings.js';
import type { Heartbeat, WorkerCommand } from '../wire/workers.js';

/**
 * A task may save a checkpoint for this multiple of the time declared by its job, plus
 * `gang_peer_s` and one heartbeat interval. If it takes longer after a stop was requested, it is
 * stopped without a checkpoint.
 */
const MAX_SAVE_TIME_RATIO = 2;

/** Returns the command that starts a recorded assignment. */
export function startCommand({ name, attempt }: Assignment): WorkerCommand {
  return { op: 'start', name, attempt };
}

/**
 * Returns the command that stops an assignment and allows `graceS` seconds to save a checkpoint.
 */
export function stopCommand({ name, attempt }: Assignment, graceS: number): WorkerCommand {
  return { op: 'stop', name, attempt, graceS };
}

/**
 * Adds the start or stop command for the assignment, if it needs one, to the commands in the
 * response to the heartbeat. An assignment whose start is added moves to the phase `sent`.
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

/**
 * Returns true if a task that is saving a checkpoint has exceeded the allowed time, or if the stop
 * allows no time for a checkpoint.
 */
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
