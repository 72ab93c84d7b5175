/** The state of one placement pass: its queue, its view of the machines, what it has found. */
import type { Job, Machine } from '../../model/entities.js';
import { NegativeSearchCache } from './negative-search-cache.js';
import { compareQueued, type QueuedJob } from './rank.js';
import type { ClusterCapacity } from '../capacity/cluster-capacity.js';

/** Work that found no room in a pass. */
export interface Shortage {
  job: Job;
  tasks: number;
}

/** One walk over all that waits, by rank. It may take several turns of the command queue. */
export class PlacementPass {
  /** Work that found no room so far. */
  readonly shortages: Shortage[] = [];
  readonly negativeSearches = new NegativeSearchCache();
  private nextIndex = 0;

  constructor(
    /** Time of the present slice of the pass. */
    public now: number,
    readonly cluster: ClusterCapacity,
    private readonly queue: QueuedJob[],
    /** Of the jobs that have tasks on machines: nobody can be stopped for a level that is no higher. */
    readonly lowestLevel: number,
  ) {
    queue.sort(compareQueued);
  }

  /** Some of the queue has been placed. */
  isStarted(): boolean {
    return this.nextIndex > 0;
  }

  /** The whole queue has been placed. */
  isFinished(): boolean {
    return this.nextIndex >= this.queue.length;
  }

  /** Takes the next job off the queue. */
  take(): QueuedJob | undefined {
    const queued = this.queue[this.nextIndex];
    this.nextIndex++;
    return queued;
  }

  /** Gives the job a further turn in the same pass, after all others. */
  requeue(queued: QueuedJob): void {
    this.queue.push(queued);
  }

  /** Goes on after an interruption, in which machines may have reported. */
  resume(now: number, isSchedulable: (machine: Machine) => boolean): void {
    this.now = now;
    this.negativeSearches.clear();
    for (const capacity of this.cluster.all) {
      capacity.unschedulable = !isSchedulable(capacity.machine);
      capacity.forecast = null;
    }
  }
}
