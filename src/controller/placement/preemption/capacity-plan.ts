/** When and how a machine can have free capacity for one more task. */
import type { Assignment, Job } from '../../model/entities.js';

/** How a machine gets free capacity for one task. */
export interface CapacityPlan {
  /** From when on the task fits, on the controller's clock. */
  fillAt: number;
  /** What has to be preempted for it. */
  victims: readonly Assignment[];
  /** Work that preempting the victims would lose. */
  lostWorkMs: number;
  /** The capacity comes from tasks that are being stopped already. */
  hasStopping: boolean;
}

/** For whom capacity is searched. */
export interface CapacitySearch {
  now: number;
  job: Job;
  /** Only capacity for which tasks are being stopped or would be preempted, none that is waited for. */
  onlyByPreemption: boolean;
}

/** How much sooner a job has to start for each millisecond of work that is lost for it. */
export const LOST_WORK_WEIGHT = 0.15;

const NO_VICTIMS: readonly Assignment[] = [];

/** A plan by which nothing more has to be preempted. */
export function planWithoutVictims(fillAt: number, hasStopping = false): CapacityPlan {
  return { fillAt, victims: NO_VICTIMS, lostWorkMs: 0, hasStopping };
}
