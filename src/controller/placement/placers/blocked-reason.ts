/** The reason why a job is waiting, which is shown to users. */
import type { Job } from '../../model/entities.js';

/** Sets the reason why the job is waiting; the empty string means that there is none to report. */
export function setBlockedReason(job: Job, reason: string): void {
  if (job.blockedReason === reason) return;
  job.blockedReason = reason;
  job.progressChanged = true;
}
