/** Computes the capacity that a machine would have free without some of its tasks. */
import { AMOUNT_TOLERANCE, type ResourceRequest } from '../../model/resource-request.js';
import type { FreeCapacity } from './free-capacity.js';

/**
 * The capacity that would be free on a machine if some of its tasks ended. One object is reused for all
 * machines, so that a search over them allocates no memory.
 */
export class HypotheticalCapacity {
  private cpus = 0;
  private gpus = 0;
  private memoryGb = 0;

  /**
   * Starts from the free capacity of the machine, less the claims of waiting jobs and less `plannedTasks`
   * tasks with the given request. Headroom claims are not subtracted, since a reservation may use headroom.
   */
  reset(capacity: FreeCapacity, request: ResourceRequest, plannedTasks: number): void {
    this.cpus = capacity.cpus - request.cpus * plannedTasks;
    this.gpus = capacity.gpus - request.gpus * plannedTasks;
    this.memoryGb = capacity.memoryGb - request.memoryGb * plannedTasks;
    for (const claim of capacity.claims) if (claim.headroom === null) this.allocate(claim);
  }

  /** Adds the resources of a task, as if it had ended. */
  release(request: ResourceRequest): void {
    this.cpus += request.cpus;
    this.gpus += request.gpus;
    this.memoryGb += request.memoryGb;
  }

  /** Subtracts the resources of a task, as if it had started. */
  allocate(request: ResourceRequest): void {
    this.cpus -= request.cpus;
    this.gpus -= request.gpus;
    this.memoryGb -= request.memoryGb;
  }

  /** Returns whether a task with this request would fit. */
  fits(request: ResourceRequest): boolean {
    return (
      request.gpus <= this.gpus + AMOUNT_TOLERANCE &&
      request.cpus <= this.cpus + AMOUNT_TOLERANCE &&
      request.memoryGb <= this.memoryGb + AMOUNT_TOLERANCE
    );
  }
}
