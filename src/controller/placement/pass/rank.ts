/** The order in which waiting jobs are placed. */
import { priorityLevels } from '../../model/job.js';
import { type Job } from '../../model/entities.js';

/** What the order depends on. */
export interface RankSettings {
  /** A wait this long counts like one priority class (aging, m03 §7). */
  agingMs: number;
  /** What each preemption of a job adds to its rank, as a share of a priority class. */
  preemptionBonus: number;
  /** What a job that can meet no start deadline any more yields, as a share of a priority class. */
  missedDeadlinePenalty: number;
  /** Latest starts by which the job meets its objectives, as times since submission, in any order. */
  startDeadlines(job: Job): readonly number[];
}

/**
 * The time at which a job would have had to be submitted, at the lowest priority and without start
 * deadlines, to rank the same. All jobs age alike, so the order of two jobs hardly changes while they
 * wait, and any job is in the end before all that come later: there is no starvation.
 *
 * Within a priority, jobs that have to start sooner go first. A job that has missed a deadline is ranked
 * by its next one, and after its last yields by a fixed amount: each step is taken once and is bounded,
 * and makes way for work that can still be in time.
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

/** A job with what decides its turn in one pass. */
export interface QueuedJob {
  job: Job;
  /** See `rankTime`; lower goes first. */
  rank: number;
  /** Work was preempted for it lately. */
  hasPreempted: boolean;
  /** An array's second turn in the pass, on machines that have to fetch its image. */
  acceptsFetch: boolean;
}

/** Ranks a job that waits. */
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

/** Total order of waiting jobs and of reservations: rank, submission, id. Lower goes first. */
export function compareRank(a: QueuedJob, b: QueuedJob): number {
  return (
    a.rank - b.rank ||
    a.job.submittedAt - b.job.submittedAt ||
    compareIds(a.job.spec.id, b.job.spec.id)
  );
}

/** Whether it is a service of the highest priority: it takes little, and each second is downtime. */
function isProductionService({ job }: QueuedJob): boolean {
  return job.isService && job.level === priorityLevels.production;
}

/**
 * Whose turn it is. First production services, then jobs for which work was just preempted: its victims
 * may well rank higher, by their submission or by the preemption, and would take the capacity back in
 * the next pass. Then work inside its team's guarantee, which must not wait for what other teams borrow,
 * nor for their reservations. Then rank.
 */
export function compareQueued(a: QueuedJob, b: QueuedJob): number {
  return (
    Number(isProductionService(b)) - Number(isProductionService(a)) ||
    Number(b.hasPreempted) - Number(a.hasPreempted) ||
    Number(b.job.guaranteed) - Number(a.job.guaranteed) ||
    compareRank(a, b)
  );
}
