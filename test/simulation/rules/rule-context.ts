/** State that the rules share: the jobs, the clock and the list of violations. */
import { ObservedJobs } from './observed-jobs.js';

/**
 * Names of the checked rules. Rules from the protocol keep the names that they have in it; the
 * operators have set the other rules.
 */
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

/** State that the rules of one simulation share; times are in milliseconds. */
export class RuleContext {
  readonly jobs = new ObservedJobs();
  /** The violations so far, each with its time, its rule and what was observed. */
  readonly violations: string[] = [];
  /** When the last fault ended; null while faults may still occur. */
  faultsEndedAt: number | null = null;

  constructor(readonly now: () => number) {}

  /** Records a violation of the rule at the present time. */
  violated(rule: Rule, detail: string): void {
    this.violations.push(`${(this.now() / 1000).toFixed(3)} s ${rule}: ${detail}`);
  }
}
