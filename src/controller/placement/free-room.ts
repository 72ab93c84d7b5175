/** Counting of what a machine would have free without some of its tasks. */
import type { ResourceRequest } from '../workers/assignment.js';
import { EPSILON } from './need.js';
import type { Room } from './room.js';

/** What is free in a room as one thinks tasks away. One is used for all: nothing is allocated. */
export class FreeRoom {
  private cpus = 0;
  private gpus = 0;
  private memoryGb = 0;

  /** Beside the claims of higher ranks and what the job itself has taken already. */
  start(room: Room, need: ResourceRequest, taken: number): void {
    this.cpus = room.cpus - need.cpus * taken;
    this.gpus = room.gpus - need.gpus * taken;
    this.memoryGb = room.memoryGb - need.memoryGb * taken;
    for (const claim of room.claims) if (claim.ahead === null) this.take(claim);
  }

  /** A task would be gone. */
  add(need: ResourceRequest): void {
    this.cpus += need.cpus;
    this.gpus += need.gpus;
    this.memoryGb += need.memoryGb;
  }

  /** A task would be there. */
  take(need: ResourceRequest): void {
    this.cpus -= need.cpus;
    this.gpus -= need.gpus;
    this.memoryGb -= need.memoryGb;
  }

  /** Whether one more such task would fit. */
  enough(need: ResourceRequest): boolean {
    return (
      need.gpus <= this.gpus + EPSILON &&
      need.cpus <= this.cpus + EPSILON &&
      need.memoryGb <= this.memoryGb + EPSILON
    );
  }
}
