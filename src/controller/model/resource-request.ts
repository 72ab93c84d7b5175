/**
 * Amounts of CPUs, GPUs and memory that tasks request, and how many requests fit in given amounts.
 */
import type { JobSpec } from '../wire/jobs.js';

/** The amounts of a machine's resources that one task requests. */
export interface ResourceRequest {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/**
 * Rounding error that comparisons of amounts tolerate, in CPUs, GPUs or GB. Amounts are decimal
 * fractions, so their sums are not exact.
 */
export const AMOUNT_TOLERANCE = 1e-6;

/** Returns how often `requested` fits in `available`; Infinity if nothing is requested. */
export function countFitting(available: number, requested: number): number {
  return requested <= 0 ? Infinity : Math.floor((available + AMOUNT_TOLERANCE) / requested);
}

/** Returns how many tasks with this request fit in the given amounts of CPUs, GPUs and memory. */
export function countFittingTasks(
  request: ResourceRequest,
  cpus: number,
  gpus: number,
  memoryGb: number,
): number {
  const count = Math.min(
    countFitting(cpus, request.cpus),
    countFitting(gpus, request.gpus),
    countFitting(memoryGb, request.memoryGb),
  );
  return Math.max(0, count);
}

/** Returns the resource request of one task of the job. */
export function resourceRequestOf({ cpus, gpus, memoryGb }: JobSpec): ResourceRequest {
  return { cpus, gpus, memoryGb };
}
