/** The settings of a controller, and the durations that follow from them. */
import { SettingsError, type Platform } from './platform.js';
import { propertyDefinitions, type Properties, type PropertyName } from './properties.js';

/** Steady clocks of two machines drift apart by at most this (PROTOCOL). */
export const MAX_CLOCK_DRIFT = 0.0005;

/** A worker takes an answer up to this long after it has sent the report (PROTOCOL). */
const ANSWER_MS = 4000;

/** A promise not to act as leader lasts for this share of the leader's lease. */
const PROMISE_LEASES = 0.2;

/** Leases of the leader that its view of cancellations lasts at least. */
const VIEW_LEASES = 2;

/** Both kinds of settings, and the figures that follow from them, in milliseconds. */
export class Settings {
  readonly heartbeatIntervalMs: number;
  readonly workerLeaseMs: number;
  readonly leaderLeaseMs: number;
  readonly leaderRenewIntervalMs: number;
  /**
   * How old the leader's view of cancellations may be when it answers a worker. A task of a job that
   * was cancelled then may go on for a worker's lease; so this, the lease and the time in which a
   * stop takes effect are together less than the time in which cancelled tasks have to be gone.
   */
  readonly maxWatchStalenessMs: number;
  /** Objectives by class: latest starts and ends in milliseconds, and multiples of due times. */
  private readonly objectives = new Map<
    string,
    { starts: number[]; ends: number[]; deadlines: number[] }
  >();

  constructor(
    readonly platform: Platform,
    readonly properties: Properties,
  ) {
    this.heartbeatIntervalMs = platform.workers.heartbeatIntervalS * 1000;
    this.workerLeaseMs = platform.workers.leaseS * 1000;
    const cancelMs = platform.workers.cancelDeadlineS * 1000 * (1 - 2 * MAX_CLOCK_DRIFT);
    const slackMs = cancelMs - this.workerLeaseMs * (1 + 2 * MAX_CLOCK_DRIFT) - ANSWER_MS;
    this.maxWatchStalenessMs = slackMs * this.get('workers.view.ratio');
    this.leaderLeaseMs = this.fittingLeaderLeaseMs();
    this.leaderRenewIntervalMs = this.leaderLeaseMs * this.get('leadership.renew.ratio');
    for (const objective of platform.objectives) {
      const { kind, class: className, withinS, deadlineFactor } = objective;
      if (className === null) continue;
      const aims = this.objectives.get(className) ?? { starts: [], ends: [], deadlines: [] };
      this.objectives.set(className, aims);
      if (kind === 'wait' && withinS !== null) aims.starts.push(withinS * 1000);
      if (kind === 'finished' && withinS !== null) aims.ends.push(withinS * 1000);
      if (kind === 'deadline') aims.deadlines.push(deadlineFactor);
    }
  }

  /**
   * A view is renewed with each watch, and below two leases no leader could keep it: where
   * `cancel_s` is short the leader's lease is shortened to fit, down to the least that is allowed.
   */
  private fittingLeaderLeaseMs(): number {
    const { cancelDeadlineS, leaseS } = this.platform.workers;
    const wantedMs = this.workerLeaseMs * this.get('leadership.lease.ratio');
    const fittingMs = Math.round(Math.min(wantedMs, this.maxWatchStalenessMs / VIEW_LEASES));
    const leastRatio = propertyDefinitions['leadership.lease.ratio'].min;
    if (fittingMs < this.workerLeaseMs * leastRatio)
      throw new SettingsError(
        `params.workers.cancel_s: ${cancelDeadlineS} is too short for lease_s ${leaseS} and ` +
          `workers.view.ratio ${this.get('workers.view.ratio')}: cancelled tasks could outlast it`,
      );
    return fittingMs;
  }

  /** The value of a property. */
  get(name: PropertyName): number {
    return this.properties[name];
  }

  /** Largest value at the state service, now and after its limits have changed. */
  get maxValueBytes(): number {
    const { stateLimits, upcomingStateLimits } = this.platform;
    return Math.min(stateLimits.valueKb, upcomingStateLimits.valueKb) * 1024;
  }

  /** How long a controller is bound by a promise not to act as leader. */
  get leaseGrantMs(): number {
    return this.leaderLeaseMs * PROMISE_LEASES;
  }

  /** How long after sending a renewal the leader may act on it. */
  get usableLeaderLeaseMs(): number {
    return this.leaderLeaseMs * (1 - 2 * MAX_CLOCK_DRIFT - this.get('leadership.margin.ratio'));
  }

  /** After this time since a worker's last answered report its tasks are surely gone. */
  get workerLeaseExpiryMs(): number {
    return this.workerLeaseMs * (1 + 2 * MAX_CLOCK_DRIFT + this.get('workers.lease.margin.ratio'));
  }

  /** Wait within which tasks of a class should start; null: nothing is said of it. */
  startObjectiveMs(className: string): number | null {
    const objective = this.platform.objectives.find(
      (candidate) => candidate.kind === 'wait' && candidate.class === className,
    );
    return objective?.withinS == null ? null : objective.withinS * 1000;
  }

  /** Wait within which work inside a team's guarantee should start. */
  get guaranteeObjectiveMs(): number | null {
    const objective = this.platform.objectives.find(({ kind }) => kind === 'guarantee');
    return objective?.withinS == null ? null : objective.withinS * 1000;
  }

  /** What is expected of a job of the class, in milliseconds since its submission. */
  objectivesFor(
    className: string,
    deadlineS: number | null,
  ): { starts: readonly number[]; ends: number[] } {
    const aims = this.objectives.get(className);
    const ends = aims === undefined ? [] : aims.ends.slice();
    if (deadlineS !== null) {
      for (const times of aims?.deadlines ?? []) ends.push(deadlineS * times * 1000);
      if (ends.length === 0) ends.push(deadlineS * 1000);
    }
    return { starts: aims?.starts ?? [], ends };
  }

  /** Cap of a team, where 0 in the settings means none. */
  static effectiveCap(value: number): number {
    return value > 0 ? value : Infinity;
  }
}
