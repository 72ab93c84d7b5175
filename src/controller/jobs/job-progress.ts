/** Counts of jobs for display, which the leader tells the other controllers. */
import type { JobProgress } from '../peers/message.js';
import type { JobStatus } from '../wire/jobs.js';
import type { Job } from './job-table.js';

const MAX_JOBS = 20_000;

/** The last counts heard of each job; the longest unheard of are dropped. */
export class ProgressCache {
  private readonly jobs = new Map<string, JobProgress>();

  constructor(private readonly maxJobs = MAX_JOBS) {}

  /** Counts that the leader has told. */
  set(progress: JobProgress): void {
    this.jobs.delete(progress.id);
    this.jobs.set(progress.id, progress);
    if (this.jobs.size <= this.maxJobs) return;
    const oldest = this.jobs.keys().next();
    if (oldest.done !== true) this.jobs.delete(oldest.value);
  }

  /** The job has ended. */
  delete(id: string): void {
    this.jobs.delete(id);
  }

  /** The job's counts as users get them. */
  answer(id: string): JobStatus | null {
    const progress = this.jobs.get(id);
    if (progress === undefined) return null;
    const { blocked, ...rest } = progress;
    return blocked === '' ? rest : { ...rest, blocked };
  }
}

/** Counts of the jobs that have changed since the last call. */
export function takeChangedProgress(jobs: Iterable<Job>): JobProgress[] {
  const changed: JobProgress[] = [];
  for (const job of jobs) {
    if (!job.progressChanged) continue;
    job.progressChanged = false;
    const answer = job.answer();
    changed.push({
      id: answer.id,
      state: answer.state,
      done: answer.done ?? 0,
      running: answer.running ?? 0,
      exits: { ...job.exitCounts },
      blocked: answer.blocked ?? '',
    });
  }
  return changed;
}
