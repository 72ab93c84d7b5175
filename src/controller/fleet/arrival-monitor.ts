/**
 * Watches how often jobs arrive, to tell when they have stopped arriving. While jobs come, idle
 * machines are capacity for the next ones; once they have stopped, idle machines only cost money.
 */

/** Mean gaps between two jobs without any job, after which arrivals count as stopped. */
const STOPPED_AFTER_GAPS = 12;

/** Jobs that must have been seen before the mean gap means anything. */
const LEAST_JOBS = 8;

/** A decaying count of jobs gives the mean gap between two of them. */
export class ArrivalMonitor {
  /** The decaying count, as of the last job. */
  private weight = 0;
  private jobs = 0;
  private lastJobAt: number;
  /** When silence began: with the last job, or once jobs could be seen again. */
  private silentSince: number;
  private newestSubmission = -Infinity;

  /**
   * `memoryMs`: the time over which arrivals are remembered. `leastMs`: the shortest silence that
   * counts, however often jobs come: users retry after an error for about as long.
   */
  constructor(
    private readonly memoryMs: number,
    private readonly leastMs: number,
    now: number,
  ) {
    this.lastJobAt = now;
    this.silentSince = now;
  }

  /** The unfinished jobs, by the time of their submission. Jobs submitted since the last call count. */
  observe(submissionTimes: Iterable<number>, now: number): void {
    const before = this.newestSubmission;
    let arrived = 0;
    for (const at of submissionTimes) {
      if (at <= before) continue;
      arrived++;
      this.newestSubmission = Math.max(this.newestSubmission, at);
    }
    if (arrived === 0) return;
    const decayed = this.weight * Math.exp((this.lastJobAt - now) / this.memoryMs);
    this.weight = decayed + arrived;
    this.jobs += arrived;
    this.lastJobAt = now;
    this.silentSince = now;
  }

  /** For a while no job could be seen (an outage, a pause of this process): silence starts anew. */
  noteInterruption(now: number): void {
    this.silentSince = now;
  }

  /** No job has come for much longer than is usual between two. */
  haveStopped(now: number): boolean {
    if (this.jobs < LEAST_JOBS) return false;
    const gapMs = this.memoryMs / this.weight;
    return now - this.silentSince > Math.max(this.leastMs, gapMs * STOPPED_AFTER_GAPS);
  }
}
