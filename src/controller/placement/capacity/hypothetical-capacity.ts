/** Counting of what a machine would have free without some of its tasks. */
import { AMOUNT_TOLERANCE, type ResourceRequest } from '../../model/resource-request.js';
import type { FreeCapacity } from './free-capacity.js';

/** What is free in a room as one thinks tasks away. One is used for all: nothing is allocated. */
export class HypotheticalCapacity {
  private cpus = 0;
  private gpus = 0;
  private memoryGb = 0;

  /** Beside the claims of higher ranks and what the job itself has taken already. */
  reset(capacity: FreeCapacity, need: ResourceRequest, taken: number): void {
    this.cpus = capacity.cpus - need.cpus * taken;
    this.gpus = capacity.gpus - need.gpus * taken;
    this.memoryGb = capacity.memoryGb - need.memoryGb * taken;
    for (const claim of capacity.claims) if (claim.headroom === null) this.allocate(claim);
  }

  /** A task would be gone. */
  release(need: ResourceRequest): void {
    this.cpus += need.cpus;
    this.gpus += need.gpus;
    this.memoryGb += need.memoryGb;
  }

  /** A task would be there. */
  allocate(need: ResourceRequest): void {
    this.cpus -= need.cpus;
    this.gpus -= need.gpus;
    this.memoryGb -= need.memoryGb;
  }

  /** Whether one more such task would fit. */
  fits(need: ResourceRequest): boolean {
    return (
      need.gpus <= this.gpus + AMOUNT_TOLERANCE &&
      need.cpus <= this.cpus + AMOUNT_TOLERANCE &&
      need.memoryGb <= this.memoryGb + AMOUNT_TOLERANCE
    );
  }
}
