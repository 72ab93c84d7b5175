/** Progress of jobs. The leader sends it to the other controllers, which show it to users. */
import type { JobProgress } from '../peers/message.js';
import type { JobStatus } from '../wire/jobs.js';
import { BoundedMap } from './bounded-map.js';
import type { Job } from '../model/entities.js';

/** Default maximum number of jobs whose progress a controller keeps. */
const MAX_JOBS = 20_000;

/**
 * Keeps the progress last received for each job, up to a maximum number of jobs. The job whose
 * progress was received longest ago is dropped first. The progress is only for display: no
 * scheduling decision depends on it.
 */
export class ProgressCache {
  private readonly progressById: BoundedMap<JobProgress>;

  constructor(maxJobs = MAX_JOBS) {
    this.progressById = new BoundedMap(maxJobs);
  }

  /** Stores a job's progress as received from the leader. */
  set(progress: JobProgress): void {
    this.progressById.set(progress.id, progress);
  }

  /** Removes a job that has ended. */
  delete(id: string): void {
    this.progressById.delete(id);
  }

  /** Returns the job's progress as a user-visible status, or null if none is stored. */
  status(id: string): JobStatus | null {
    const progress = this.progressById.get(id);
    if (progress === undefined) return null;
    const { blocked, ...counts } = progress;
    return blocked === '' ? counts : { ...counts, blocked };
  }
}

/** Returns the progress of each job whose progress may have changed since the last call. */
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
