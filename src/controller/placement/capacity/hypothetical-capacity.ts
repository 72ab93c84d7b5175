/** Counting of what a machine would have free without some of its tasks. */
import { AMOUNT_TOLERANCE, type ResourceRequest } from '../../model/resource-request.js';
import type { FreeCapacity } from './free-capacity.js';

/** What is free in a room as one thinks tasks away. One is used for all: nothing is allocated. */
export class HypotheticalCapacity {
  private cpus = 0;
  private gpus = 0;
  private memoryGb = 0;

  /** Beside the claims of higher ranks and what the job itself has taken already. */
  reset(capacity: FreeCapacity, request: ResourceRequest, taken: number): void {
    this.cpus = capacity.cpus - request.cpus * taken;
    this.gpus = capacity.gpus - request.gpus * taken;
    this.memoryGb = capacity.memoryGb - request.memoryGb * taken;
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
