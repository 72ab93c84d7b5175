/** A rule checker that knows of one gang, and steps that its tests share. */
import type { JobSpec } from '../src/controller/wire/jobs.js';
import { arraySpec } from './fakes.js';
import type { FreeCapacity, Placement } from './simulation/rules/placement.js';
import { RuleChecker } from './simulation/rules/rule-checker.js';

/** A gang of two tasks that needs a machine type, on demand, in one zone. */
export const gang: JobSpec = arraySpec({
  ...{ id: 'req-1', class: 'train', team: 'red', kind: 'gang', gpus: 2 },
  ...{ types: ['big'], singleZone: true, spot: false },
});
export const placement: Placement = { machine: 'n-1', type: 'big', zone: 'a', spot: false };
export const freeMachine: FreeCapacity = {
  ...{ type: 'big', zone: 'a', spot: false, interruptionNotice: false },
  ...{ cpus: 16, gpus: 4, memoryGb: 128 },
};
const team = { name: 'red', guaranteedCpus: 0, guaranteedGpus: 0, maxCpus: 0, maxGpus: 4 };
export const CANCEL_MS = 45_000;
export const BOTH_TASKS = [0, 1];

/** What a test does to a checker that knows of the gang's submission. */
export type Steps = (checker: RuleChecker, time: { now: number }) => void;

/** The names of the rules that the checker finds violated. */
export function violatedRules(play: Steps): string[] {
  const time = { now: 0 };
  const checker = new RuleChecker([team], CANCEL_MS, () => time.now);
  checker.jobSubmitted(gang);
  play(checker, time);
  return checker.violations.map((text) => text.split(' s ')[1]?.split(':')[0] ?? '');
}

/** The user is told that the submission is accepted. */
export function accept(checker: RuleChecker, id = 'req-1'): void {
  checker.responseReceived(id, 201, 'pending', true);
}

/** The user cancels the gang, and is told that it is cancelled. */
export function cancel(checker: RuleChecker): void {
  checker.cancelRequested('req-1');
  checker.responseReceived('req-1', 200, 'aborted', false);
}

/** Checks every second until then that jobs don't wait beside free capacity. */
export function waitUntil(
  checker: RuleChecker,
  time: { now: number },
  untilMs: number,
  free: FreeCapacity,
): void {
  for (; time.now <= untilMs; time.now += 1000) checker.checkWaitingJobs([free]);
}
