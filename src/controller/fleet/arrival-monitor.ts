/**
 * Detects that jobs have stopped arriving. While jobs arrive, idle machines are capacity for the next ones;
 * afterwards they only cost money.
 */

/** Arrivals count as stopped after this many times the mean gap between two jobs. */
const STOPPED_AFTER_GAPS = 12;

/** Jobs that have to arrive before the mean gap is meaningful. */
const MIN_JOBS = 8;

/** Estimates the mean gap between two jobs from an exponentially decaying count. */
export class ArrivalMonitor {
  /** The decaying count, as of the last job. */
  private decayingCount = 0;
  private jobCount = 0;
  private lastJobAt: number;
  /** Start of the quiet period: the last job, or the end of the last interruption. */
  private noArrivalSince: number;
  private newestSubmittedAt = -Infinity;

  /**
   * `memoryMs`: time constant of the decay. `minQuietMs`: shortest quiet period that counts, however often
   * jobs arrive: users retry after an error within about that time. `now`: steady clock, milliseconds.
   */
  constructor(
    private readonly decayTimeConstantMs: number,
    private readonly minStopDelayMs: number,
    now: number,
  ) {
    this.lastJobAt = now;
    this.noArrivalSince = now;
  }

  /** Takes the submission times of all unfinished jobs; those submitted since the last call are counted. */
  observe(submissionTimes: Iterable<number>, now: number): void {
    const previousNewestSubmittedAt = this.newestSubmittedAt;
    let newJobs = 0;
    for (const submittedAt of submissionTimes) {
      if (submittedAt <= previousNewestSubmittedAt) continue;
      newJobs++;
      this.newestSubmittedAt = Math.max(this.newestSubmittedAt, submittedAt);
    }
    if (newJobs === 0) return;
    const decayed =
      this.decayingCount * Math.exp((this.lastJobAt - now) / this.decayTimeConstantMs);
    this.decayingCount = decayed + newJobs;
    this.jobCount += newJobs;
    this.lastJobAt = now;
    this.noArrivalSince = now;
  }

  /** No job could arrive for a while (an outage, a pause of this process): the quiet period starts anew. */
  noteInterruption(now: number): void {
    this.noArrivalSince = now;
  }

  /** Whether no job has arrived for much longer than the mean gap between two. */
  haveStopped(now: number): boolean {
    if (this.jobCount < MIN_JOBS) return false;
    const meanGapMs = this.decayTimeConstantMs / this.decayingCount;
    return (
      now - this.noArrivalSince > Math.max(this.minStopDelayMs, meanGapMs * STOPPED_AFTER_GAPS)
    );
  }
}
