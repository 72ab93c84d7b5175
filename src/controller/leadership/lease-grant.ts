/** The lease grant that this controller has given to a leader that the state store does not serve. */
import type { EventLoop } from '../runtime/event-loop.js';
import { MAX_CLOCK_DRIFT, type Settings } from '../settings/settings.js';

/** Bounds the difference between two machines' clocks, each of which may drift either way. */
const CLOCK_FACTOR = 1 + 4 * MAX_CLOCK_DRIFT;
/** For timers that fire early by a fraction of a millisecond. */
const CLOCK_MARGIN_MS = 2;

/**
 * While a grant lasts this controller does not act as leader, even if it is elected. The previous
 * process on this host may have given one just before it ended, so each process begins as if it had
 * given one when it started (design.md, invariant 1).
 */
export class LeaseGrant {
  /** Until when this controller is bound, on its steady clock. */
  private grantedUntil: number;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'> & {
      runtime: Pick<EventLoop['runtime'], 'startedAt'>;
    },
    private readonly settings: Pick<Settings, 'leaseGrantMs'>,
  ) {
    this.grantedUntil = eventLoop.runtime.startedAt + this.durationMs;
  }

  /** Somewhat longer than the leader counts on it. */
  private get durationMs(): number {
    return this.settings.leaseGrantMs * CLOCK_FACTOR + CLOCK_MARGIN_MS;
  }

  /** Gives a grant that begins now. */
  grant(): void {
    this.grantedUntil = Math.max(this.grantedUntil, this.eventLoop.now() + this.durationMs);
  }

  /** Time until this controller may act as leader as far as its grants are concerned. */
  get remainingMs(): number {
    return Math.max(0, this.grantedUntil - this.eventLoop.now());
  }
}
