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

  /** Wait within which work inside a team's guarantee should start. */
  get guaranteeWithinMs(): number | null {
    const o = this.platform.objectives.find((x) => x.kind === 'guarantee');
    return o?.withinS == null ? null : o.withinS * 1000;
  }

  /** What is expected of a job of the class, in milliseconds since its submission. */
  aims(cls: string, deadlineS: number | null): { starts: number[]; ends: number[] } {
    const starts: number[] = [];
    const ends: number[] = [];
    for (const o of this.platform.objectives) {
      if (o.class !== cls) continue;
      if (o.kind === 'wait' && o.withinS !== null) starts.push(o.withinS * 1000);
      if (o.kind === 'finished' && o.withinS !== null) ends.push(o.withinS * 1000);
      if (o.kind === 'deadline' && deadlineS !== null) ends.push(deadlineS * o.times * 1000);
    }
    if (deadlineS !== null && ends.length === 0) ends.push(deadlineS * 1000);
    return { starts, ends };
  }

  /** Cap of a team, where 0 in the settings means none. */
  static cap(value: number): number {
    return value > 0 ? value : Infinity;
  }
}
