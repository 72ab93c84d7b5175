import type { Job } from '../jobs/table.js';

export interface RankSettings {
  /** A wait this long counts like one priority class (m03's aging). */
  agingMs: number;
  /** What a preemption adds, as a share of a class. */
  bonus: number;
}

/**
 * The time at which a job would have had to be submitted at the lowest priority to rank the same.
 * All jobs age alike, so the order of two jobs never changes while they wait, and any job is in the
 * end before all that come later: total, stable, and without starvation.
 */
export function rankTime(job: Job, s: RankSettings): number {
  return job.submittedAt - (job.level + job.preemptions * s.bonus) * s.agingMs;
}

/** Total order of holds and of everything that waits: rank, submission, id. Lower goes first. */
export function compareRank(a: Job, b: Job, s: RankSettings): number {
  return (
    rankTime(a, s) - rankTime(b, s) ||
    a.submittedAt - b.submittedAt ||
    (a.spec.id < b.spec.id ? -1 : a.spec.id > b.spec.id ? 1 : 0)
  );
}
