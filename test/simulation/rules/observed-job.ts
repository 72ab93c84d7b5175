/** What the rule checker knows of one job. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { Placement } from './placement.js';

/** What a job's user had been told at some moment. */
export interface VisibleState {
  accepted: boolean;
  done: boolean;
  cancelled: boolean;
}

/** What a user is told of a job for the first time. */
export type VisibleChange = keyof VisibleState;

/** A submitted job: what its user asked for and was told, and what became of its tasks. */
export interface ObservedJob {
  spec: JobSpec;
  submittedAt: number;
  accepted: boolean;
  cancelRequested: boolean;
  cancelledAt: number | null;
  reportedDone: boolean;
  completedTasks: Set<number>;
  /** When its user's first request without a useful response was, since the last that had one. */
  unansweredSince: number | null;
  /** Tasks on machines by zone, and how many in all. */
  tasksByZone: Map<string, number>;
  tasksOnMachines: number;
  /** When as many of its tasks were on machines at one time as a gang has, or the first of an array. */
  startedAt: number | null;
  /** Since when none of its tasks has been on a machine though there was capacity for them. */
  runnableSince: number | null;
}

/** A job that was submitted just now. */
export function newObservedJob(spec: JobSpec, now: number): ObservedJob {
  return {
    ...{ spec, submittedAt: now, accepted: false, cancelRequested: false },
    ...{ cancelledAt: null, reportedDone: false, completedTasks: new Set(), unansweredSince: null },
    ...{ tasksByZone: new Map(), tasksOnMachines: 0, startedAt: null, runnableSince: null },
  };
}

/** What the job's user has been told so far; undefined: nobody submitted it. */
export function visibleStateOf(job: ObservedJob | undefined): VisibleState {
  return {
    accepted: job?.accepted === true,
    done: job?.reportedDone === true,
    cancelled: (job?.cancelledAt ?? null) !== null,
  };
}

/** Whether a machine at this place was not asked for, and how; the task is on it already. */
export function placementViolations(
  { spec, tasksByZone }: ObservedJob,
  placement: Placement,
): string[] {
  const violations: string[] = [];
  if (spec.types !== null && !spec.types.includes(placement.type)) violations.push('type');
  if (spec.zone !== null && spec.zone !== placement.zone) violations.push('zone');
  if (placement.spot && !spec.spot) violations.push('spot');
  if (spec.singleZone && tasksByZone.size > 1) violations.push('two zones');
  if (spec.spread && Math.max(...tasksByZone.values()) > Math.ceil(spec.tasks / 2))
    violations.push('too many in a zone');
  return violations;
}
