/** The state of one placement pass: its queue, the free capacity and its results so far. */
import type { Job, Machine } from '../../model/entities.js';
import { NegativeSearchCache } from './negative-search-cache.js';
import { compareQueued, type QueuedJob } from './rank.js';
import type { ClusterCapacity } from '../capacity/cluster-capacity.js';

/** The tasks of a job for which a pass found no free capacity. */
export interface Shortage {
  job: Job;
  /** Number of tasks of the job for which the pass found no free capacity. */
  tasks: number;
}

/** One pass over the queue of waiting jobs. It may be spread over several turns of the event loop. */
export class PlacementPass {
  /** The tasks for which this pass has found no free capacity so far. */
  readonly shortages: Shortage[] = [];
  readonly negativeSearches = new NegativeSearchCache();
  private nextIndex = 0;

  constructor(
    /** When the current slice of the pass began, on the controller's monotonic clock in ms. */
    public now: number,
    readonly cluster: ClusterCapacity,
    private readonly queue: QueuedJob[],
    /**
     * Lowest priority level among the jobs with assigned tasks. The priority of a job at this level or below
     * does not allow it to preempt any task.
     */
    readonly lowestLevel: number,
  ) {
    queue.sort(compareQueued);
  }

  /** Returns whether at least one job has been taken off the queue. */
  isStarted(): boolean {
    return this.nextIndex > 0;
  }

  /** Returns whether all jobs have been taken off the queue. */
  isFinished(): boolean {
    return this.nextIndex >= this.queue.length;
  }

  /** Takes the next job off the queue; returns undefined if there is none. */
  take(): QueuedJob | undefined {
    const queued = this.queue[this.nextIndex];
    this.nextIndex++;
    return queued;
  }

  /** Puts the job at the end of the queue, so that it is tried again in the same pass. */
  requeue(queued: QueuedJob): void {
    this.queue.push(queued);
  }

  /** Refreshes the state of the machines after an interruption of the pass, in which heartbeats may arrive. */
  resume(now: number, isSchedulable: (machine: Machine) => boolean): void {
    this.now = now;
    this.negativeSearches.clear();
    for (const capacity of this.cluster.all) {
      capacity.unschedulable = !isSchedulable(capacity.machine);
      capacity.forecast = null;
    }
  }
}
