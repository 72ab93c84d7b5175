/** The settings of a controller and the durations derived from them. */
import { groupByClass, type ClassObjectives } from './class-objectives.js';
import type { Platform } from './platform.js';
import type { Properties } from './properties.js';
import { propertyDefinitions, type PropertyName } from './property-definitions.js';
import { SettingsError } from './settings-error.js';

/** Largest drift between the monotonic clocks of two hosts, as a ratio to the elapsed time (PROTOCOL). */
export const MAX_CLOCK_DRIFT = 0.0005;

/**
 * A worker ignores a response that arrives more than this time after the worker sent the heartbeat
 * (PROTOCOL).
 */
const HEARTBEAT_RESPONSE_LIMIT_MS = 4000;

/** Duration of a lease grant (see `Settings.leaseGrantMs`), as a ratio to the leader's lease. */
const LEASE_GRANT_RATIO = 0.2;

/** The leader's lease is shortened until `Settings.maxWatchStalenessMs` is at least this many leases. */
const MIN_STALENESS_LEASES = 2;

/** The platform's settings, the operators' properties, and the durations and limits derived from both. */
export class Settings {
  /** Time between two heartbeats of a worker. */
  readonly heartbeatIntervalMs: number;
  /** Nominal lease of a worker; `workerLeaseExpiryMs` adds clock drift and a margin. */
  readonly workerLeaseMs: number;
  /** Nominal lease of the leader at the state store; `usableLeaderLeaseMs` deducts drift and a margin. */
  readonly leaderLeaseMs: number;
  /** Time between two renewals of the leader's lease. */
  readonly leaderRenewIntervalMs: number;
  /**
   * Largest staleness of the leader's job watch with which it may answer a worker (F in invariant 8: whoever
   * answers a worker knows every cancellation confirmed more than F ago). A worker that is answered without
   * knowledge of a cancellation may run the job's tasks for one more worker lease. Therefore this bound, the
   * worker lease and the time until a stop takes effect (`HEARTBEAT_RESPONSE_LIMIT_MS`) add up to less than
   * `cancel_s`, the time within which the tasks of a cancelled job must be gone.
   */
  readonly maxWatchStalenessMs: number;
  private readonly objectives: ReadonlyMap<string, ClassObjectives>;

  constructor(
    readonly platform: Platform,
    readonly properties: Properties,
  ) {
    this.heartbeatIntervalMs = platform.workers.heartbeatIntervalS * 1000;
    this.workerLeaseMs = platform.workers.leaseS * 1000;
    const cancelDeadlineMs = platform.workers.cancelDeadlineS * 1000 * (1 - 2 * MAX_CLOCK_DRIFT);
    const availableStalenessMs =
      cancelDeadlineMs -
      this.workerLeaseMs * (1 + 2 * MAX_CLOCK_DRIFT) -
      HEARTBEAT_RESPONSE_LIMIT_MS;
    this.maxWatchStalenessMs = availableStalenessMs * this.get('workers.view.ratio');
    this.leaderLeaseMs = this.computeLeaderLeaseMs();
    this.leaderRenewIntervalMs = this.leaderLeaseMs * this.get('leadership.renew.ratio');
    this.objectives = groupByClass(platform.objectives);
  }

  /**
   * Returns the configured leader lease, shortened if `cancel_s` leaves little time for watch staleness. The
   * watch is fresh only after a read, and its staleness cannot be kept below `MIN_STALENESS_LEASES` leader
   * leases. Throws a `SettingsError` if the lease would be shorter than the smallest value of
   * `leadership.lease.ratio` allows.
   */
  private computeLeaderLeaseMs(): number {
    const { cancelDeadlineS, leaseS } = this.platform.workers;
    const configuredMs = this.workerLeaseMs * this.get('leadership.lease.ratio');
    const leaseMs = Math.round(
      Math.min(configuredMs, this.maxWatchStalenessMs / MIN_STALENESS_LEASES),
    );
    const minRatio = propertyDefinitions['leadership.lease.ratio'].min;
    if (leaseMs < this.workerLeaseMs * minRatio)
      throw new SettingsError(
        `params.workers.cancel_s: ${cancelDeadlineS} is too short for lease_s ${leaseS} and ` +
          `workers.view.ratio ${this.get('workers.view.ratio')}: cancelled tasks could run longer than cancel_s`,
      );
    return leaseMs;
  }

  /** Returns the value of a property. */
  get(name: PropertyName): number {
    return this.properties[name];
  }

  /** Size in bytes of the largest value that both the current and the upcoming limits of the store allow. */
  get maxValueBytes(): number {
    const { stateLimits, upcomingStateLimits } = this.platform;
    return Math.min(stateLimits.valueKb, upcomingStateLimits.valueKb) * 1024;
  }

  /**
   * Duration of a lease grant. With a lease grant, a follower promises the leader not to act as leader itself
   * (invariant 1: beyond its lease, a leader may answer workers only while every other controller has made
   * this promise).
   */
  get leaseGrantMs(): number {
    return this.leaderLeaseMs * LEASE_GRANT_RATIO;
  }

  /**
   * How long the leader may act on its lease, counted from when it sent the last successful renewal. This is
   * the lease less clock drift and a margin (invariant 1: the leader acts only within its lease).
   */
  get usableLeaderLeaseMs(): number {
    return this.leaderLeaseMs * (1 - 2 * MAX_CLOCK_DRIFT - this.get('leadership.margin.ratio'));
  }

  /**
   * Time after a worker's last answered heartbeat at which its lease has expired even with the largest clock
   * drift, plus a margin (invariant 5: the worker's tasks are then gone).
   */
  get workerLeaseExpiryMs(): number {
    return this.workerLeaseMs * (1 + 2 * MAX_CLOCK_DRIFT + this.get('workers.lease.margin.ratio'));
  }

  /** Time since submission within which tasks of the class should start; null if no objective gives a time. */
  startObjectiveMs(className: string): number | null {
    const objective = this.platform.objectives.find(
      (candidate) => candidate.kind === 'wait' && candidate.class === className,
    );
    return objective?.withinS == null ? null : objective.withinS * 1000;
  }

  /**
   * Time since submission within which tasks covered by their team's guarantee should start; null if no
   * objective gives a time.
   */
  get guaranteeObjectiveMs(): number | null {
    const objective = this.platform.objectives.find(({ kind }) => kind === 'guarantee');
    return objective?.withinS == null ? null : objective.withinS * 1000;
  }

  /**
   * Returns the objectives that apply to a job, as times since its submission in milliseconds: its tasks should
   * start within each of `starts`, and the job should end within each of `ends`. If there is no objective for
   * its end, a job with a deadline should end by the deadline.
   *
   * @param className - the job's class
   * @param deadlineS - the job's own deadline in seconds since its submission; null if it has none
   */
  objectivesFor(
    className: string,
    deadlineS: number | null,
  ): { starts: readonly number[]; ends: number[] } {
    const classObjectives = this.objectives.get(className);
    const ends = classObjectives === undefined ? [] : classObjectives.ends.slice();
    if (deadlineS !== null) {
      for (const factor of classObjectives?.deadlineFactors ?? [])
        ends.push(deadlineS * factor * 1000);
      if (ends.length === 0) ends.push(deadlineS * 1000);
    }
    return { starts: classObjectives?.starts ?? [], ends };
  }

  /** Returns a team's cap for comparisons: Infinity if the settings give 0, which means no cap. */
  static effectiveCap(value: number): number {
    return value > 0 ? value : Infinity;
  }
}
