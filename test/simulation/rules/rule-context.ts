/** What the rules share: the jobs, the time, and the list of violations. */
import { ObservedJobs } from './observed-jobs.js';

/** The rules that are checked: those of the protocol by their names there, and the operators'. */
export type Rule =
  | 'accepted_odd'
  | 'forgotten'
  | 'invented'
  | 'left_waiting'
  | 'not_done'
  | 'quota'
  | 'ran_cancelled'
  | 'ran_twice'
  | 'went_back'
  | 'wrong_place';

/** Shared by the rules of one simulation; times in milliseconds. */
export class RuleContext {
  readonly jobs = new ObservedJobs();
  /** Rules that were violated, with the time and the detail. */
  readonly violations: string[] = [];
  /** When the last fault was over; null while faults may come. */
  faultsEndedAt: number | null = null;

  constructor(readonly now: () => number) {}

  /** Records that a rule was violated. */
  violated(rule: Rule, detail: string): void {
    this.violations.push(`${(this.now() / 1000).toFixed(3)} s ${rule}: ${detail}`);
  }
}
