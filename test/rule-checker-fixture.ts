/** A rule checker with one submitted gang, and steps that the rule checker's tests share. */
import type { JobSpec } from '../src/controller/wire/jobs.js';
import { arraySpec } from './fakes.js';
import type { FreeCapacity, Placement } from './simulation/rules/placement.js';
import { RuleChecker } from './simulation/rules/rule-checker.js';

/** A gang of two tasks that requires on-demand machines of one type in a single zone. */
export const gang: JobSpec = arraySpec({
  ...{ id: 'req-1', class: 'train', team: 'red', kind: 'gang', gpus: 2 },
  ...{ types: ['big'], singleZone: true, spot: false },
});
/** The machine on which the gang's tasks start. */
export const placement: Placement = { machine: 'n-1', type: 'big', zone: 'a', spot: false };
/** A machine with free capacity for the whole gang. */
export const freeMachine: FreeCapacity = {
  ...{ type: 'big', zone: 'a', spot: false, interruptionNotice: false },
  ...{ cpus: 16, gpus: 4, memoryGb: 128 },
};
const team = { name: 'red', guaranteedCpus: 0, guaranteedGpus: 0, maxCpus: 0, maxGpus: 4 };
/** Longest time that tasks may run after the cancellation of their job is confirmed, in milliseconds. */
export const CANCEL_MS = 45_000;
/** The numbers of the gang's tasks. */
export const BOTH_TASKS = [0, 1];

/** The events that a test reports to the checker after the gang's submission. */
export type Steps = (checker: RuleChecker, time: { now: number }) => void;

/** Plays the steps and returns the names of the rules that the checker reports as violated. */
export function violatedRules(play: Steps): string[] {
  const time = { now: 0 };
  const checker = new RuleChecker([team], CANCEL_MS, () => time.now);
  checker.jobSubmitted(gang);
  play(checker, time);
  return checker.violations.map((text) => text.split(' s ')[1]?.split(':')[0] ?? '');
}

/** Reports that the user received the response that accepts the submission. */
export function accept(checker: RuleChecker, id = 'req-1'): void {
  checker.responseReceived(id, 201, 'pending', true);
}

/** Reports that the user cancelled the gang and received the response that confirms it. */
export function cancel(checker: RuleChecker): void {
  checker.cancelRequested('req-1');
  checker.responseReceived('req-1', 200, 'aborted', false);
}

/** Runs the check for jobs that wait while capacity is free, every second up to `untilMs`. */
export function waitUntil(
  checker: RuleChecker,
  time: { now: number },
  untilMs: number,
  free: FreeCapacity,
): void {
  for (; time.now <= untilMs; time.now += 1000) checker.checkWaitingJobs([free]);
}
