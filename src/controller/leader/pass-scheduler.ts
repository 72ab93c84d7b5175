/** Schedules placement passes in slices, so that other events are handled between the slices. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';

/** Minimum pause after a pass, as a multiple of the total duration of its slices. */
const PASS_PAUSE_FACTOR = 3;

/** The methods of `Placement` that the scheduler calls. */
export type SlicedPlacement = Pick<Placement, 'passInProgress' | 'begin' | 'advance'>;

/**
 * Runs placement passes in slices. Between the slices heartbeats and user requests are handled. All passes
 * together take a bounded share of the time, regardless of the number of waiting tasks.
 */
export class PassScheduler {
  private isPassRequested = true;
  private isTimerSet = false;
  private passStartedAt = -Infinity;
  private lastSliceEndedAt = -Infinity;
  /** Total duration of the slices of the latest pass so far. */
  private passDurationMs = 0;

  /** @param onPassFinished - called at the end of a pass with the total duration of its slices */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly placement: SlicedPlacement,
    private readonly onPassFinished: (durationMs: number) => void,
  ) {}

  /** Requests a pass, which starts once enough time has passed since the previous one. */
  request(): void {
    this.isPassRequested = true;
  }

  /** Called after each batch of events: runs a slice of the pass in progress, or of a new pass if one is due. */
  step(): void {
    const sliceStartedAt = this.eventLoop.now();
    if (!this.placement.passInProgress && !this.begin(sliceStartedAt)) return;
    const sliceMs = this.settings.heartbeatIntervalMs * this.settings.get('placement.slice.ratio');
    const isFinished = this.placement.advance(sliceStartedAt + sliceMs);
    const now = this.eventLoop.now();
    this.passDurationMs += now - sliceStartedAt;
    this.lastSliceEndedAt = now;
    if (isFinished) this.onPassFinished(this.passDurationMs);
    else this.wakeAfter(0);
  }

  /** Starts a pass if one is due; returns whether it did. */
  private begin(now: number): boolean {
    if (!this.isPassRequested) return false;
    const delayMs = this.waitMs(now);
    if (delayMs > 0) {
      this.wakeAfter(delayMs);
      return false;
    }
    this.isPassRequested = false;
    this.passStartedAt = now;
    this.passDurationMs = 0;
    this.placement.begin();
    return true;
  }

  private waitMs(now: number): number {
    const minIntervalMs =
      this.settings.heartbeatIntervalMs * this.settings.get('placement.interval.ratio');
    return Math.max(
      this.passStartedAt + minIntervalMs - now,
      this.lastSliceEndedAt + this.passDurationMs * PASS_PAUSE_FACTOR - now,
    );
  }

  /** Queues an event that does nothing itself: `step` is called after the batch that contains it. */
  private wakeAfter(delayMs: number): void {
    if (this.isTimerSet) return;
    this.isTimerSet = true;
    this.eventLoop.after(delayMs, 'pass', () => {
      this.isTimerSet = false;
    });
  }
}
