/** Arithmetic of what tasks need and machines have: processors, GPUs and memory. */
import type { JobSpec } from '../wire/jobs.js';

/** What one task takes of a machine. */
export interface ResourceRequest {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Amounts are decimals: sums of them may be off by this much. */
export const AMOUNT_TOLERANCE = 1e-6;

/** How often `need` goes into `room`. */
export function countFitting(available: number, requested: number): number {
  return requested <= 0 ? Infinity : Math.floor((available + AMOUNT_TOLERANCE) / requested);
}

/** Whole tasks that go into room of all three kinds. */
export function countFittingTasks(
  request: ResourceRequest,
  cpus: number,
  gpus: number,
  memoryGb: number,
): number {
  const fit = Math.min(
    countFitting(cpus, request.cpus),
    countFitting(gpus, request.gpus),
    countFitting(memoryGb, request.memoryGb),
  );
  return Math.max(0, fit);
}

/** What one task of the job needs. */
export function resourceRequestOf({ cpus, gpus, memoryGb }: JobSpec): ResourceRequest {
  return { cpus, gpus, memoryGb };
}
