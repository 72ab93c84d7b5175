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
  /** Objectives by class: latest starts and ends in milliseconds, and multiples of due times. */
  private readonly objectives = new Map<
    string,
    { starts: number[]; ends: number[]; deadlines: number[] }
  >();

  constructor(
    readonly platform: Platform,
    readonly properties: Properties,
  ) {
    this.reportMs = platform.workers.reportS * 1000;
    this.workerLeaseMs = platform.workers.leaseS * 1000;
    this.leaderLeaseMs = Math.round(this.workerLeaseMs * this.get('leadership.lease.ratio'));
    this.renewMs = this.leaderLeaseMs * this.get('leadership.renew.ratio');
    for (const o of platform.objectives) {
      if (o.class === null) continue;
      const of = this.objectives.get(o.class) ?? { starts: [], ends: [], deadlines: [] };
      this.objectives.set(o.class, of);
      if (o.kind === 'wait' && o.withinS !== null) of.starts.push(o.withinS * 1000);
      if (o.kind === 'finished' && o.withinS !== null) of.ends.push(o.withinS * 1000);
      if (o.kind === 'deadline') of.deadlines.push(o.times);
    }
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
  aims(cls: string, deadlineS: number | null): { starts: readonly number[]; ends: number[] } {
    const of = this.objectives.get(cls);
    const ends = of === undefined ? [] : of.ends.slice();
    if (deadlineS !== null) {
      for (const times of of?.deadlines ?? []) ends.push(deadlineS * times * 1000);
      if (ends.length === 0) ends.push(deadlineS * 1000);
    }
    return { starts: of?.starts ?? [], ends };
  }

  /** Cap of a team, where 0 in the settings means none. */
  static cap(value: number): number {
    return value > 0 ? value : Infinity;
  }
}
