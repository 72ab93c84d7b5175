/** The state of one placement pass: its queue, the free capacity, and what it has found. */
import type { Job, Machine } from '../../model/entities.js';
import { NegativeSearchCache } from './negative-search-cache.js';
import { compareQueued, type QueuedJob } from './rank.js';
import type { ClusterCapacity } from '../capacity/cluster-capacity.js';

/** Tasks of a job that found no free capacity in a pass. */
export interface Shortage {
  job: Job;
  tasks: number;
}

/** One walk over the waiting jobs, by turn. It may take several turns of the event loop. */
export class PlacementPass {
  /** What found no free capacity so far. */
  readonly shortages: Shortage[] = [];
  readonly negativeSearches = new NegativeSearchCache();
  private nextIndex = 0;

  constructor(
    /** When the present slice of the pass began. */
    public now: number,
    readonly cluster: ClusterCapacity,
    private readonly queue: QueuedJob[],
    /** Lowest priority level of the jobs with tasks on machines: lower or equal ones can't outrank any. */
    readonly lowestLevel: number,
  ) {
    queue.sort(compareQueued);
  }

  /** Some jobs have had their turn. */
  isStarted(): boolean {
    return this.nextIndex > 0;
  }

  /** All jobs have had their turn. */
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

  /** Goes on after an interruption in which heartbeats may have come. */
  resume(now: number, isSchedulable: (machine: Machine) => boolean): void {
    this.now = now;
    this.negativeSearches.clear();
    for (const capacity of this.cluster.all) {
      capacity.unschedulable = !isSchedulable(capacity.machine);
      capacity.forecast = null;
    }
  }
}
