/**
 * Detects that jobs have stopped arriving. While jobs arrive, idle machines are capacity for the next ones;
 * afterwards they only cost money.
 */
import { exp } from '../runtime/elementary-functions.js';

/** Arrivals count as stopped once no job has arrived for this many times the mean gap between two jobs. */
const STOPPED_AFTER_GAPS = 12;

/** Number of jobs that have to arrive before the mean gap is meaningful. */
const MIN_JOBS = 8;

/** Estimates the mean gap between two jobs from an exponentially decaying count. */
export class ArrivalMonitor {
  /** Exponentially decaying count of the jobs that have arrived, as of the last arrival. */
  private decayingCount = 0;
  private jobCount = 0;
  private lastJobAt: number;
  /** Start of the current gap between arrivals: the last arrival, or the end of a later interruption. */
  private gapStart: number;
  private newestSubmittedAt = -Infinity;

  /**
   * @param decayTimeConstantMs - time constant of the exponential decay
   * @param minStopDelayMs - shortest time without a job after which arrivals can count as stopped, however
   *   often jobs arrived before. In a shorter gap, submissions may merely have failed: users retry after an
   *   error within about this time.
   * @param now - current time of the monotonic clock in ms
   */
  constructor(
    private readonly decayTimeConstantMs: number,
    private readonly minStopDelayMs: number,
    now: number,
  ) {
    this.lastJobAt = now;
    this.gapStart = now;
  }

  /** Counts the jobs submitted since the last call, given the submission times of all unfinished jobs. */
  observe(submissionTimes: Iterable<number>, now: number): void {
    const previousNewestSubmittedAt = this.newestSubmittedAt;
    let newJobs = 0;
    for (const submittedAt of submissionTimes) {
      if (submittedAt <= previousNewestSubmittedAt) continue;
      newJobs++;
      this.newestSubmittedAt = Math.max(this.newestSubmittedAt, submittedAt);
    }
    if (newJobs === 0) return;
    const decayed = this.decayingCount * exp((this.lastJobAt - now) / this.decayTimeConstantMs);
    this.decayingCount = decayed + newJobs;
    this.jobCount += newJobs;
    this.lastJobAt = now;
    this.gapStart = now;
  }

  /**
   * Restarts the current gap after an interruption in which no job could arrive, such as an outage or a stall
   * of this process.
   */
  recordInterruption(now: number): void {
    this.gapStart = now;
  }

  /** Whether no job has arrived for much longer than the mean gap between two jobs. */
  haveStopped(now: number): boolean {
    if (this.jobCount < MIN_JOBS) return false;
    const meanGapMs = this.decayTimeConstantMs / this.decayingCount;
    return now - this.gapStart > Math.max(this.minStopDelayMs, meanGapMs * STOPPED_AFTER_GAPS);
  }
}
