/** Arithmetic of what tasks need and machines have: processors, GPUs and memory. */
import type { JobSpec } from '../wire/jobs.js';
import type { ResourceRequest } from '../workers/assignment.js';

/** Amounts are decimals: sums of them may be off by this much. */
export const EPSILON = 1e-6;

/** How often `need` goes into `room`. */
export function timesContained(room: number, need: number): number {
  return need <= 0 ? Infinity : Math.floor((room + EPSILON) / need);
}

/** Whole tasks that go into room of all three kinds. */
export function wholeTasks(
  need: ResourceRequest,
  cpus: number,
  gpus: number,
  memoryGb: number,
): number {
  const fit = Math.min(
    timesContained(cpus, need.cpus),
    timesContained(gpus, need.gpus),
    timesContained(memoryGb, need.memoryGb),
  );
  return Math.max(0, fit);
}

/** What one task of the job needs. */
export function needOf({ cpus, gpus, memoryGb }: JobSpec): ResourceRequest {
  return { cpus, gpus, memoryGb };
}
