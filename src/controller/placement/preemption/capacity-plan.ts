/** Plans of when and how a machine gets free capacity for one more task. */
import type { Assignment, Job } from '../../model/entities.js';

/** A plan of how a machine gets free capacity for one task. */
export interface CapacityPlan {
  /** When the task is expected to fit, on the controller's monotonic clock in ms. */
  fillAt: number;
  /** The tasks to preempt. */
  victims: readonly Assignment[];
  /** Cost of preempting the victims, in ms of run time; see `PreemptionPolicy.lostWorkMs`. */
  lostWorkMs: number;
  /** Whether the plan uses capacity of tasks that are already being stopped. */
  hasStopping: boolean;
}

/** A search for capacity for one job. */
export interface CapacitySearch {
  /** Time of the search, on the controller's monotonic clock in ms. */
  now: number;
  job: Job;
  /**
   * Whether to consider only capacity of tasks that are being stopped or would be preempted, and not
   * capacity of tasks that end without being stopped.
   */
  onlyByPreemption: boolean;
}

/** Preemption must let a job start at least this many ms earlier for each ms of work that is lost. */
export const LOST_WORK_WEIGHT = 0.15;

const NO_VICTIMS: readonly Assignment[] = [];

/** Creates a plan that preempts no further tasks. */
export function planWithoutVictims(fillAt: number, hasStopping = false): CapacityPlan {
  return { fillAt, victims: NO_VICTIMS, lostWorkMs: 0, hasStopping };
}
