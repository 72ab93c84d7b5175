/** When placement passes begin and go on, so that requests are served between their slices. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';

/** Time without a placement pass after one, in times of what it took. */
const PASS_REST_FACTOR = 3;

/** The placement whose passes are scheduled. */
export type SlicedPlacement = Pick<Placement, 'passInProgress' | 'begin' | 'advance'>;

/**
 * Runs placement passes in slices. Between the slices reports and users are served; and passes
 * together take only a part of the time, however much is waiting.
 */
export class PassScheduler {
  private passDue = true;
  private timerSet = false;
  private startedAt = -Infinity;
  private lastSliceEndedAt = -Infinity;
  /** What the slices of the pass took together. */
  private tookMs = 0;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly placement: SlicedPlacement,
    /** A pass is over. */
    private readonly onPassFinished: (tookMs: number) => void,
  ) {}

  /** Something has changed: a pass is due. */
  request(): void {
    this.passDue = true;
  }

  /** Goes on with the pass, or begins one when it is due. */
  step(): void {
    const sliceStart = this.eventLoop.now();
    if (!this.placement.passInProgress && !this.begin(sliceStart)) return;
    const sliceMs = this.settings.heartbeatIntervalMs * this.settings.get('placement.slice.ratio');
    const over = this.placement.advance(sliceStart + sliceMs);
    const now = this.eventLoop.now();
    this.tookMs += now - sliceStart;
    this.lastSliceEndedAt = now;
    if (over) this.onPassFinished(this.tookMs);
    else this.wakeAfter(0);
  }

  /** False if no pass is due yet. */
  private begin(now: number): boolean {
    if (!this.passDue) return false;
    const waitMs = this.waitMs(now);
    if (waitMs > 0) {
      this.wakeAfter(waitMs);
      return false;
    }
    this.passDue = false;
    this.startedAt = now;
    this.tookMs = 0;
    this.placement.begin();
    return true;
  }

  private waitMs(now: number): number {
    const intervalMs =
      this.settings.heartbeatIntervalMs * this.settings.get('placement.interval.ratio');
    return Math.max(
      this.startedAt + intervalMs - now,
      this.lastSliceEndedAt + this.tookMs * PASS_REST_FACTOR - now,
    );
  }

  /** An empty command: `step` runs after its batch. */
  private wakeAfter(delayMs: number): void {
    if (this.timerSet) return;
    this.timerSet = true;
    this.eventLoop.after(delayMs, 'pass', () => {
      this.timerSet = false;
    });
  }
}
