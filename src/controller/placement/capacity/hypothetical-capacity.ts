/** Counting of what a machine would have free without some of its tasks. */
import { AMOUNT_TOLERANCE, type ResourceRequest } from '../../model/resource-request.js';
import type { FreeCapacity } from './free-capacity.js';

/**
 * What would be free on a machine if some of its tasks were gone. One object serves all machines in
 * turn, so that a search over them allocates nothing.
 */
export class HypotheticalCapacity {
  private cpus = 0;
  private gpus = 0;
  private memoryGb = 0;

  /**
   * Starts with what the machine has free beside the claims of jobs that wait, and `plannedTasks` tasks
   * of the job itself. Headroom is left out: a reservation may use it.
   */
  reset(capacity: FreeCapacity, request: ResourceRequest, plannedTasks: number): void {
    this.cpus = capacity.cpus - request.cpus * plannedTasks;
    this.gpus = capacity.gpus - request.gpus * plannedTasks;
    this.memoryGb = capacity.memoryGb - request.memoryGb * plannedTasks;
    for (const claim of capacity.claims) if (claim.headroom === null) this.allocate(claim);
  }

  /** A task would be gone. */
  release(request: ResourceRequest): void {
    this.cpus += request.cpus;
    this.gpus += request.gpus;
    this.memoryGb += request.memoryGb;
  }

  /** A task would be there. */
  allocate(request: ResourceRequest): void {
    this.cpus -= request.cpus;
    this.gpus -= request.gpus;
    this.memoryGb -= request.memoryGb;
  }

  /** Whether one more such task would fit. */
  fits(request: ResourceRequest): boolean {
    return (
      request.gpus <= this.gpus + AMOUNT_TOLERANCE &&
      request.cpus <= this.cpus + AMOUNT_TOLERANCE &&
      request.memoryGb <= this.memoryGb + AMOUNT_TOLERANCE
    );
  }
}
