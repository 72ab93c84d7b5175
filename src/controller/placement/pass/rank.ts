/** The order in which what waits is placed. */
import { priorityLevels } from '../../model/job.js';
import { type Job } from '../../model/entities.js';

/** What the order depends on. */
export interface RankSettings {
  /** A wait this long counts like one priority class (m03's aging). */
  agingMs: number;
  /** What a preemption adds, as a share of a class. */
  preemptionBonus: number;
  /** What a job that can no longer meet any aim yields, as a share of a class. */
  missedDeadlinePenalty: number;
  /** Latest starts by which the job still meets its aims, since submission, in any order. */
  startDeadlines(job: Job): readonly number[];
}

/**
 * The time at which a job would have had to be submitted, at the lowest priority and without aims,
 * to rank the same. All jobs age alike, so the order of two jobs hardly changes while they wait,
 * and any job is in the end before all that come later: total, and without starvation.
 *
 * Within a priority, jobs that have to start sooner go first. A job that has lost an aim is ranked
 * by its next one, and after its last yields by a fixed amount: each step is taken once and is
 * bounded, and makes way for work that can still be in time.
 */
export function rankTime(job: Job, settings: RankSettings, now: number): number {
  const aims = settings.startDeadlines(job);
  const waited = now - job.submittedAt;
  let next = Infinity;
  let last = 0;
  for (const aim of aims) {
    if (aim >= waited && aim < next) next = aim;
    if (aim > last) last = aim;
  }
  if (next === Infinity)
    next = last + (aims.length > 0 ? settings.missedDeadlinePenalty * settings.agingMs : 0);
  return (
    job.submittedAt +
    next -
    (job.level + job.preemptionCount * settings.preemptionBonus) * settings.agingMs
  );
}

/** A job with what decides its turn in one pass. */
export interface QueuedJob {
  job: Job;
  rank: number;
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

/** Total order of reservations and of everything that waits: rank, submission, id. Lower goes first. */
export function compareRank(a: QueuedJob, b: QueuedJob): number {
  return (
    a.rank - b.rank ||
    a.job.submittedAt - b.job.submittedAt ||
    compareIds(a.job.spec.id, b.job.spec.id)
  );
}

/** A service of the highest priority with replicas missing: it takes little, and each second counts. */
function isProductionService({ job }: QueuedJob): boolean {
  return job.isService && job.level === priorityLevels.production;
}

/**
 * Whose turn it is. First services that must not be down, then those for whom work was just stopped:
 * its victims may well rank higher, by their submission or by having been stopped, and would take the
 * room back in the next pass. Then work inside its team's guarantee, which must not wait for what other
 * teams borrow, nor for their reservations. Then rank.
 */
export function compareQueued(a: QueuedJob, b: QueuedJob): number {
  return (
    Number(isProductionService(b)) - Number(isProductionService(a)) ||
    Number(b.hasPreempted) - Number(a.hasPreempted) ||
    Number(b.job.guaranteed) - Number(a.job.guaranteed) ||
    compareRank(a, b)
  );
}
