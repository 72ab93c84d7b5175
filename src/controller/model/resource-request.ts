/** Amounts of CPUs, GPUs and memory that tasks request, and how often they fit. */
import type { JobSpec } from '../wire/jobs.js';

/** The resources of a machine that one task uses. */
export interface ResourceRequest {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Amounts are decimals, so sums of them may be off by this much. */
export const AMOUNT_TOLERANCE = 1e-6;

/** How many times the requested amount fits in the available one; Infinity if none is requested. */
export function countFitting(available: number, requested: number): number {
  return requested <= 0 ? Infinity : Math.floor((available + AMOUNT_TOLERANCE) / requested);
}

/** How many tasks with this request fit in the given amounts. */
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

/** The request of one task of the job. */
export function resourceRequestOf({ cpus, gpus, memoryGb }: JobSpec): ResourceRequest {
  return { cpus, gpus, memoryGb };
}
