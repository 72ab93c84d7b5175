/** Schedules placement passes and their slices, so that requests are served in between. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';

/** Least time between two passes, as a multiple of what the first one took. */
const PASS_REST_FACTOR = 3;

/** The placement whose passes are scheduled. */
export type SlicedPlacement = Pick<Placement, 'passInProgress' | 'begin' | 'advance'>;

/**
 * Runs placement passes in slices. Between the slices heartbeats and users are served. All passes
 * together take a bounded share of the time, however many tasks are waiting.
 */
export class PassScheduler {
  private isPassRequested = true;
  private isTimerSet = false;
  private passStartedAt = -Infinity;
  private lastSliceEndedAt = -Infinity;
  /** What the slices of the latest pass took together. */
  private passDurationMs = 0;

  /** `onPassFinished`: told, when a pass is over, what its slices took together. */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly placement: SlicedPlacement,
    private readonly onPassFinished: (durationMs: number) => void,
  ) {}

  /** Requests a pass, which begins once those before leave time for it. */
  request(): void {
    this.isPassRequested = true;
  }

  /** Runs a slice of the pass in progress, or of a new one if it is due; called after each batch of commands. */
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

  /** Begins a pass if one is due; tells whether it did. */
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
      this.lastSliceEndedAt + this.passDurationMs * PASS_REST_FACTOR - now,
    );
  }

  /** Posts an empty command: `step` runs after its batch. */
  private wakeAfter(delayMs: number): void {
    if (this.isTimerSet) return;
    this.isTimerSet = true;
    this.eventLoop.after(delayMs, 'pass', () => {
      this.isTimerSet = false;
    });
  }
}
