/** The order in which waiting jobs are placed. */
import { priorityLevels } from '../../model/job.js';
import { type Job } from '../../model/entities.js';

/** Settings that determine the rank of jobs. */
export interface RankSettings {
  /** Waiting time in ms that raises a job's rank by one priority class (aging, m03 §7). */
  agingMs: number;
  /** Amount by which each preemption of a job raises its rank, as a fraction of a priority class. */
  preemptionBonus: number;
  /** Amount by which missing all start deadlines lowers a job's rank, as a fraction of a priority class. */
  missedDeadlinePenalty: number;
  /** Returns the job's start deadlines, in ms since its submission and in no particular order. */
  startDeadlines(job: Job): readonly number[];
}

/**
 * Returns the rank of a job as a virtual submission time: a job of the lowest priority with no start deadlines
 * would have the same rank if it were submitted at this time. All jobs age at the same rate, so the order of
 * two jobs rarely changes while they wait. Every job eventually ranks before all newly submitted jobs, so no
 * job starves.
 *
 * Within a priority, jobs with earlier start deadlines go first. When a job misses a deadline, it is ranked
 * by its next deadline. When it misses its last deadline, its rank is lowered by a fixed amount. Each of these
 * changes is bounded and happens once. They let jobs that can still meet their deadlines go first.
 */
export function rankTime(job: Job, settings: RankSettings, now: number): number {
  const deadlines = settings.startDeadlines(job);
  const waitedMs = now - job.submittedAt;
  let nextDeadline = Infinity;
  let lastDeadline = 0;
  for (const deadline of deadlines) {
    if (deadline >= waitedMs && deadline < nextDeadline) nextDeadline = deadline;
    if (deadline > lastDeadline) lastDeadline = deadline;
  }
  if (nextDeadline === Infinity)
    nextDeadline =
      lastDeadline + (deadlines.length > 0 ? settings.missedDeadlinePenalty * settings.agingMs : 0);
  return (
    job.submittedAt +
    nextDeadline -
    (job.level + job.preemptionCount * settings.preemptionBonus) * settings.agingMs
  );
}

/** A waiting job with the values that determine its position in the queue of one pass. */
export interface QueuedJob {
  job: Job;
  /** Result of `rankTime`; the lower value goes first. */
  rank: number;
  /**
   * Whether tasks were preempted for the job less than the duration of a worker lease ago, and some of its
   * own tasks have not started since then.
   */
  hasPreempted: boolean;
  /**
   * Whether this is the job's second entry in the pass. Tasks of a second entry may also start on machines
   * that have to fetch the image.
   */
  acceptsFetch: boolean;
}

/** Creates the queue entry of a waiting job. */
export function queuedJob(job: Job, settings: RankSettings, now: number): QueuedJob {
  return {
    job,
    rank: rankTime(job, settings, now),
    hasPreempted: job.preemptionClaimUntil > now,
    acceptsFetch: false,
  };
}

function compareIds(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** Total order of waiting jobs, for use with `sort`: by rank, then submission time, then id. */
export function compareRank(a: QueuedJob, b: QueuedJob): number {
  return (
    a.rank - b.rank ||
    a.job.submittedAt - b.job.submittedAt ||
    compareIds(a.job.spec.id, b.job.spec.id)
  );
}

/**
 * Returns whether the job is a service of the highest priority. Such services need little capacity, and
 * every second that a replica waits is downtime.
 */
function isProductionService({ job }: QueuedJob): boolean {
  return job.isService && job.level === priorityLevels.production;
}

/**
 * Order of the queue of a pass, for use with `sort`:
 * 1. Production services.
 * 2. Jobs for which tasks of other jobs were preempted recently. A preempted job may rank higher than the
 *    job that it made way for, because it was submitted earlier or because preemption raises its rank.
 *    If only the rank counted, it would take the freed capacity back in the next pass.
 * 3. Jobs covered by their team's guarantee, which must not wait for capacity that other teams borrow or
 *    reserve.
 * 4. All other jobs.
 *
 * Within each group, jobs are ordered by rank.
 */
export function compareQueued(a: QueuedJob, b: QueuedJob): number {
  return (
    Number(isProductionService(b)) - Number(isProductionService(a)) ||
    Number(b.hasPreempted) - Number(a.hasPreempted) ||
    Number(b.job.guaranteed) - Number(a.job.guaranteed) ||
    compareRank(a, b)
  );
}
