/** The lease grant of this controller to a leader. A leader requests it when it cannot renew its lease. */
import type { EventLoop } from '../runtime/event-loop.js';
import { MAX_CLOCK_DRIFT, type Settings } from '../settings/settings.js';

/** Factor by which a grant is prolonged, because the clocks of two hosts may drift in opposite directions. */
const CLOCK_DRIFT_FACTOR = 1 + 4 * MAX_CLOCK_DRIFT;
/** Time in ms by which a grant is prolonged, because timers may fire early by a fraction of 1 ms. */
const TIMER_MARGIN_MS = 2;

/**
 * This controller does not act as leader until its grant expires, even if it is elected: meanwhile the
 * leader that holds the grant may answer workers beyond its lease (design.md, invariant 1). The previous
 * process on this host may have given a grant just before it ended, so every process behaves as if it had
 * given a grant when it started.
 */
export class LeaseGrant {
  /** Time until which this controller is bound by a grant, on its monotonic clock in ms. */
  private grantedUntil: number;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'> & {
      runtime: Pick<EventLoop['runtime'], 'startedAt'>;
    },
    private readonly settings: Pick<Settings, 'leaseGrantMs'>,
  ) {
    this.grantedUntil = eventLoop.runtime.startedAt + this.durationMs;
  }

  /** How long a grant binds this controller, in ms: longer than the leader uses it, since clocks may drift. */
  private get durationMs(): number {
    return this.settings.leaseGrantMs * CLOCK_DRIFT_FACTOR + TIMER_MARGIN_MS;
  }

  /** Gives a grant that starts now. */
  grant(): void {
    this.grantedUntil = Math.max(this.grantedUntil, this.eventLoop.now() + this.durationMs);
  }

  /** Time in ms until this controller is no longer bound by a grant; 0 if it is not bound. */
  get remainingMs(): number {
    return Math.max(0, this.grantedUntil - this.eventLoop.now());
  }
}
