/** Progress of jobs for display, which the leader sends to the other controllers. */
import type { JobProgress } from '../peers/message.js';
import type { JobStatus } from '../wire/jobs.js';
import { BoundedMap } from './bounded-map.js';
import type { Job } from '../model/entities.js';

/** Jobs whose progress a controller remembers by default. */
const MAX_JOBS = 20_000;

/**
 * The last progress received of each job; jobs not heard of for longest are dropped. It is only
 * shown: no rule depends on it.
 */
export class ProgressCache {
  private readonly progressById: BoundedMap<JobProgress>;

  constructor(maxJobs = MAX_JOBS) {
    this.progressById = new BoundedMap(maxJobs);
  }

  /** Remembers what the leader has sent of a job. */
  set(progress: JobProgress): void {
    this.progressById.set(progress.id, progress);
  }

  /** Forgets a job that has ended. */
  delete(id: string): void {
    this.progressById.delete(id);
  }

  /** The job's progress in the form that users get; null: nothing was received of it. */
  status(id: string): JobStatus | null {
    const progress = this.progressById.get(id);
    if (progress === undefined) return null;
    const { blocked, ...counts } = progress;
    return blocked === '' ? counts : { ...counts, blocked };
  }
}

/** Progress of the jobs whose progress has changed since the last call. */
export function takeChangedProgress(jobs: Iterable<Job>): JobProgress[] {
  const changedProgress: JobProgress[] = [];
  for (const job of jobs) {
    if (!job.progressChanged) continue;
    job.progressChanged = false;
    changedProgress.push(progressOf(job));
  }
  return changedProgress;
}

function progressOf(job: Job): JobProgress {
  const { id, state, done, running, blocked } = job.status();
  return {
    id,
    state,
    done: done ?? 0,
    running: running ?? 0,
    exits: { ...job.exitCounts },
    blocked: blocked ?? '',
  };
}
