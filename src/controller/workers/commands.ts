/** Orders to workers, as they follow from assignments. */
import type { Settings } from '../settings/settings.js';
import type { WorkerCommand, Heartbeat } from '../wire/workers.js';
import type { Assignment, StopRequest } from './assignment.js';

/** Saving that takes longer than this many times its announced time is cut short. */
const SAVE_TIME_TOLERANCE = 2;

/** The order to start a recorded assignment. */
export function startCommand({ name, attempt }: Assignment): WorkerCommand {
  return { op: 'start', name, attempt };
}

/** The order to stop an assignment, with this time for saving. */
export function stopCommand({ name, attempt }: Assignment, graceS: number): WorkerCommand {
  return { op: 'stop', name, attempt, graceS };
}

/** Adds the order, if any, that the answer to the report has for the assignment. */
export function addCommand(
  assignment: Assignment,
  report: Pick<Heartbeat, 'agentEpoch' | 'sequence'>,
  commands: WorkerCommand[],
  settings: Settings,
  now: number,
): void {
  const { phase, stop } = assignment;
  if (assignment.agentEpoch !== report.agentEpoch) return;
  if (phase === 'recorded') {
    commands.push(startCommand(assignment));
    assignment.phase = 'sent';
    assignment.startSentSequence = report.sequence;
    return;
  }
  if ((phase !== 'seen' && phase !== 'sent') || stop === null) return;
  if (assignment.state !== 'saving') commands.push(stopCommand(assignment, stop.graceS));
  else if (isSaveOverdue(assignment, stop, settings, now))
    commands.push(stopCommand(assignment, 0));
}

/** Whether a task that saves should long be done with it, or is to end without. */
function isSaveOverdue(
  { checkpointSaveS }: Assignment,
  stop: StopRequest,
  settings: Settings,
  now: number,
): boolean {
  const savedWithinS =
    checkpointSaveS * SAVE_TIME_TOLERANCE + settings.platform.workers.gangPeerExitS;
  const allowedMs = savedWithinS * 1000 + settings.heartbeatIntervalMs;
  return stop.graceS === 0 || now - stop.requestedAt > allowedMs;
}
