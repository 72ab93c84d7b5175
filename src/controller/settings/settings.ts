import type { Platform } from './platform.js';
import type { Properties, PropertyName } from './properties.js';

/** Steady clocks of two machines drift apart by at most this (PROTOCOL). */
export const DRIFT = 0.0005;

/** Both kinds of settings, and the figures that follow from them, in milliseconds. */
export class Settings {
  readonly reportMs: number;
  readonly workerLeaseMs: number;
  readonly leaderLeaseMs: number;
  readonly renewMs: number;

  constructor(
    readonly platform: Platform,
    readonly properties: Properties,
  ) {
    this.reportMs = platform.workers.reportS * 1000;
    this.workerLeaseMs = platform.workers.leaseS * 1000;
    this.leaderLeaseMs = Math.round(this.workerLeaseMs * this.get('leadership.lease.ratio'));
    this.renewMs = this.leaderLeaseMs * this.get('leadership.renew.ratio');
  }

  get(name: PropertyName): number {
    return this.properties[name];
  }

  /** How long after sending a renewal the leader may act on it. */
  get leaderActsMs(): number {
    return this.leaderLeaseMs * (1 - 2 * DRIFT - this.get('leadership.margin.ratio'));
  }

  /** After this time since a worker's last answered report its tasks are surely gone. */
  get workerGoneMs(): number {
    return this.workerLeaseMs * (1 + 2 * DRIFT + this.get('workers.lease.margin.ratio'));
  }

  /** Wait within which tasks of a class should start; null: nothing is said of it. */
  startWithinMs(cls: string): number | null {
    const o = this.platform.objectives.find((x) => x.kind === 'wait' && x.class === cls);
    return o?.withinS == null ? null : o.withinS * 1000;
  }

  /** Time within which jobs of a class should be done, by the strictest objective. */
  finishWithinMs(cls: string): number | null {
    const within = this.platform.objectives
      .filter((x) => x.kind === 'finished' && x.class === cls && x.withinS !== null)
      .map((x) => x.withinS ?? 0);
    return within.length === 0 ? null : Math.min(...within) * 1000;
  }

  /** Cap of a team, where 0 in the settings means none. */
  static cap(value: number): number {
    return value > 0 ? value : Infinity;
  }
}
