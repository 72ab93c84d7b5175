/** Orders to workers, as they follow from assignments. */
import type { Settings } from '../settings/settings.js';
import type { WorkerCommand, Heartbeat } from '../wire/workers.js';
import type { Assignment, StopRequest } from './assignment.js';

/** Saving that takes longer than this many times its announced time is cut short. */
const SAVE_TOLERANCE = 2;

/** The order to start a recorded assignment. */
export function startOrder({ name, attempt }: Assignment): WorkerCommand {
  return { op: 'start', name, attempt };
}

/** The order to stop an assignment, with this time for saving. */
export function stopOrder({ name, attempt }: Assignment, graceS: number): WorkerCommand {
  return { op: 'stop', name, attempt, graceS };
}

/** Adds the order, if any, that the answer to the report has for the assignment. */
export function addOrder(
  assignment: Assignment,
  report: Pick<Heartbeat, 'agentEpoch' | 'sequence'>,
  orders: WorkerCommand[],
  settings: Settings,
  now: number,
): void {
  const { phase, stop } = assignment;
  if (assignment.session !== report.agentEpoch) return;
  if (phase === 'recorded') {
    orders.push(startOrder(assignment));
    assignment.phase = 'sent';
    assignment.sentSeq = report.sequence;
    return;
  }
  if ((phase !== 'seen' && phase !== 'sent') || stop === null) return;
  if (assignment.state !== 'saving') orders.push(stopOrder(assignment, stop.graceS));
  else if (savingIsOver(assignment, stop, settings, now)) orders.push(stopOrder(assignment, 0));
}

/** Whether a task that saves should long be done with it, or is to end without. */
function savingIsOver(
  { saveS }: Assignment,
  stop: StopRequest,
  settings: Settings,
  now: number,
): boolean {
  const savedWithinS = saveS * SAVE_TOLERANCE + settings.platform.workers.gangPeerExitS;
  const allowedMs = savedWithinS * 1000 + settings.heartbeatIntervalMs;
  return stop.graceS === 0 || now - stop.requestedAt > allowedMs;
}
