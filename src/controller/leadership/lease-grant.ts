/** What this controller has promised a leader that the state service does not serve. */
import type { EventLoop } from '../runtime/event-loop.js';
import { MAX_CLOCK_DRIFT, type Settings } from '../settings/settings.js';

/** Clocks of two machines, and timers that fire early by a part of a millisecond. */
const CLOCK_FACTOR = 1 + 4 * MAX_CLOCK_DRIFT;
const CLOCK_MARGIN_MS = 2;

/**
 * While a promise lasts this controller does not act as leader, even if it is elected. The process
 * before on this host may have given one just before it ended; so each process begins as if it had
 * given one when it started.
 */
export class LeaseGrant {
  private grantedUntil: number;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'> & {
      runtime: Pick<EventLoop['runtime'], 'startedAt'>;
    },
    private readonly settings: Pick<Settings, 'leaseGrantMs'>,
  ) {
    this.grantedUntil = eventLoop.runtime.startedAt + this.durationMs;
  }

  private get durationMs(): number {
    return this.settings.leaseGrantMs * CLOCK_FACTOR + CLOCK_MARGIN_MS;
  }

  /** Promises not to act as leader for as long as a promise lasts, from now on. */
  grant(): void {
    this.grantedUntil = Math.max(this.grantedUntil, this.eventLoop.now() + this.durationMs);
  }

  /** Time until this controller may act as leader, as far as promises are concerned. */
  get remainingMs(): number {
    return Math.max(0, this.grantedUntil - this.eventLoop.now());
  }
}
