import type { Job } from '../jobs/table.js';

export interface RankSettings {
  /** A wait this long counts like one priority class (m03's aging). */
  agingMs: number;
  /** What a preemption adds, as a share of a class. */
  bonus: number;
  /** What a job that can no longer be in time yields, as a share of a class. */
  late: number;
  /** How long a job can wait and still be in time; null: nothing is said of it. */
  slackMs(job: Job): number | null;
}

/**
 * The time at which a job would have had to be submitted, at the lowest priority and without due
 * time, to rank the same. All jobs age alike, so the order of two jobs hardly changes while they
 * wait, and any job is in the end before all that come later: total, and without starvation.
 *
 * Within a priority, jobs that have to start sooner go first. One that can no longer be in time
 * yields, once and by a fixed amount, to those that still can.
 */
export function rankTime(job: Job, s: RankSettings): number {
  const yielded = job.late ? s.late : 0;
  return (
    job.submittedAt +
    (s.slackMs(job) ?? 0) -
    (job.level + job.preemptions * s.bonus - yielded) * s.agingMs
  );
}

/** Total order of holds and of everything that waits: rank, submission, id. Lower goes first. */
export function compareRank(a: Job, b: Job, s: RankSettings): number {
  return (
    rankTime(a, s) - rankTime(b, s) ||
    a.submittedAt - b.submittedAt ||
    (a.spec.id < b.spec.id ? -1 : a.spec.id > b.spec.id ? 1 : 0)
  );
}
