/** What the rule checker knows of one job. */
import type { JobSpec } from '../../src/controller/wire/jobs.js';
import type { Place } from './place.js';

/** What a job's user had been told at some moment. */
export interface Standing {
  accepted: boolean;
  done: boolean;
  cancelled: boolean;
}

/** What a user is told of a job for the first time. */
export type News = keyof Standing;

/** A submitted job: what its user asked for and was told, and what became of its tasks. */
export interface JobRecord {
  spec: JobSpec;
  submittedAt: number;
  accepted: boolean;
  cancelAsked: boolean;
  cancelledAt: number | null;
  toldDone: boolean;
  done: Set<number>;
  /** When its user was last given an answer that says something, and first asked without one since. */
  unansweredFrom: number | null;
  /** Tasks on machines by zone, and how many in all. */
  zones: Map<string, number>;
  on: number;
  /** When as many of its tasks were on machines at one time as a gang has, or the first of an array. */
  begunAt: number | null;
  /** Since when none of its tasks has been on a machine though there was room for them. */
  couldRunFrom: number | null;
}

/** A job that was submitted just now. */
export function newRecord(spec: JobSpec, now: number): JobRecord {
  return {
    ...{ spec, submittedAt: now, accepted: false, cancelAsked: false },
    ...{ cancelledAt: null, toldDone: false, done: new Set(), unansweredFrom: null },
    ...{ zones: new Map(), on: 0, begunAt: null, couldRunFrom: null },
  };
}

/** What the job's user has been told so far; undefined: nobody submitted it. */
export function standingOf(job: JobRecord | undefined): Standing {
  return {
    accepted: job?.accepted === true,
    done: job?.toldDone === true,
    cancelled: (job?.cancelledAt ?? null) !== null,
  };
}

/** Whether a machine at this place was not asked for, and how; the task is on it already. */
export function placeFaults({ spec, zones }: JobRecord, place: Place): string[] {
  const faults: string[] = [];
  if (spec.types !== null && !spec.types.includes(place.type)) faults.push('type');
  if (spec.zone !== null && spec.zone !== place.zone) faults.push('zone');
  if (place.spot && !spec.spot) faults.push('spot');
  if (spec.singleZone && zones.size > 1) faults.push('two zones');
  if (spec.spread && Math.max(...zones.values()) > Math.ceil(spec.tasks / 2))
    faults.push('too many in a zone');
  return faults;
}
