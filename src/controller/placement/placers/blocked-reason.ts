/** Why a job waits, as its users are told. */
import type { Job } from '../../model/entities.js';

/** Sets why the job waits; empty: nothing keeps it from being placed. */
export function setBlockedReason(job: Job, reason: string): void {
  if (job.blockedReason === reason) return;
  job.blockedReason = reason;
  job.progressChanged = true;
}
