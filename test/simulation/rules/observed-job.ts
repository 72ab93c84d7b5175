/** The state of one job as the rule checker has observed it. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { Placement } from './placement.js';

/** What responses had reported about a job at some moment. */
export interface VisibleState {
  accepted: boolean;
  done: boolean;
  cancelled: boolean;
}

/** A fact about a job that a response reports for the first time. */
export type VisibleChange = keyof VisibleState;

/** A submitted job: what users requested, what responses reported, and the state of its tasks. */
export interface ObservedJob {
  spec: JobSpec;
  submittedAt: number;
  accepted: boolean;
  cancelRequested: boolean;
  cancelledAt: number | null;
  reportedDone: boolean;
  completedTasks: Set<number>;
  /**
   * Time since which requests about the accepted job have got no useful response (200 or 201). Null
   * if the latest response was useful.
   */
  unansweredSince: number | null;
  /** Number of tasks on machines, by zone. */
  tasksByZone: Map<string, number>;
  /** Number of tasks on machines in all zones. */
  tasksOnMachines: number;
  /**
   * When the job started: a gang starts when all its tasks are on machines for the first time, any
   * other job with its first task. Null before.
   */
  startedAt: number | null;
  /**
   * Time since which the job has waited although there was capacity for it. A service waits while
   * it lacks a replica. Null if the job does not wait or there is no capacity for it.
   */
  runnableSince: number | null;
}

/** Creates the record of a job that is submitted now. */
export function newObservedJob(spec: JobSpec, now: number): ObservedJob {
  return {
    ...{ spec, submittedAt: now, accepted: false, cancelRequested: false },
    ...{ cancelledAt: null, reportedDone: false, completedTasks: new Set(), unansweredSince: null },
    ...{ tasksByZone: new Map(), tasksOnMachines: 0, startedAt: null, runnableSince: null },
  };
}

/**
 * Returns what responses have reported about the job; `job` is undefined if nobody has submitted
 * it.
 */
export function visibleStateOf(job: ObservedJob | undefined): VisibleState {
  return {
    accepted: job?.accepted === true,
    done: job?.reportedDone === true,
    cancelled: (job?.cancelledAt ?? null) !== null,
  };
}

/**
 * Describes each constraint of the job that a task at this placement violates; `tasksByZone`
 * already includes the task.
 */
export function placementViolations(
  { spec, tasksByZone }: ObservedJob,
  placement: Placement,
): string[] {
  const violations: string[] = [];
  if (spec.types !== null && !spec.types.includes(placement.type))
    violations.push('is on a machine type that its job excludes');
  if (spec.zone !== null && spec.zone !== placement.zone)
    violations.push('is outside the zone that its job requires');
  if (placement.spot && !spec.spot)
    violations.push('is on a spot instance, which its job excludes');
  if (spec.singleZone && tasksByZone.size > 1)
    violations.push('is not in the zone of the other tasks of its job');
  if (spec.spread && Math.max(...tasksByZone.values()) > Math.ceil(spec.tasks / 2))
    violations.push('is in a zone with more than half of the tasks of its job');
  return violations;
}
