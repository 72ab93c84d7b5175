/** The settings of a controller and the durations derived from them. */
import { groupByClass, type ClassObjectives } from './class-objectives.js';
import type { Platform } from './platform.js';
import type { Properties } from './properties.js';
import { propertyDefinitions, type PropertyName } from './property-definitions.js';
import { SettingsError } from './settings-error.js';

/** Largest drift between the steady clocks of two hosts, as a ratio to the elapsed time (PROTOCOL). */
export const MAX_CLOCK_DRIFT = 0.0005;

/** A worker drops a heartbeat's response later than this after it has sent the heartbeat (PROTOCOL). */
const HEARTBEAT_RESPONSE_LIMIT_MS = 4000;

/** Duration of a follower's lease grant, as a ratio to the leader's lease. */
const LEASE_GRANT_RATIO = 0.2;

/** The tolerated watch staleness is at least this many leader leases. */
const MIN_STALENESS_LEASES = 2;

/** The platform's settings, the operators' properties, and what is derived from both. */
export class Settings {
  /** Time between two heartbeats of a worker. */
  readonly heartbeatIntervalMs: number;
  /** Nominal lease of a worker, without drift and margin; see `workerLeaseExpiryMs`. */
  readonly workerLeaseMs: number;
  /** Nominal lease of the leader at the state store; see `usableLeaderLeaseMs`. */
  readonly leaderLeaseMs: number;
  /** Time between two renewals of the leader's lease. */
  readonly leaderRenewIntervalMs: number;
  /**
   * Largest staleness of the leader's job watch with which it may answer a worker (F in invariant 8). A job
   * cancelled in that time may keep its tasks for one more worker lease, so this, the lease and the time in
   * which a stop takes effect add up to less than the time in which cancelled tasks have to be gone.
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
   * The watch becomes fresh with each read, and a leader could not keep it fresh for less than two of its
   * leases. So where `cancel_s` leaves little time the leader's lease is shortened to fit, down to the
   * smallest ratio that is allowed; with less, throws a `SettingsError`.
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
          `workers.view.ratio ${this.get('workers.view.ratio')}: cancelled tasks could outlast it`,
      );
    return leaseMs;
  }

  /** The value of a property. */
  get(name: PropertyName): number {
    return this.properties[name];
  }

  /** Largest value in bytes that the state store takes now and after its limits have changed. */
  get maxValueBytes(): number {
    const { stateLimits, upcomingStateLimits } = this.platform;
    return Math.min(stateLimits.valueKb, upcomingStateLimits.valueKb) * 1024;
  }

  /** How long a follower's lease grant binds it not to act as leader (invariant 1). */
  get leaseGrantMs(): number {
    return this.leaderLeaseMs * LEASE_GRANT_RATIO;
  }

  /** How long the leader may rely on its lease, counted from when it sent the last renewal (invariant 1). */
  get usableLeaderLeaseMs(): number {
    return this.leaderLeaseMs * (1 - 2 * MAX_CLOCK_DRIFT - this.get('leadership.margin.ratio'));
  }

  /** Time after a worker's last answered heartbeat by which its lease has surely expired (invariant 5). */
  get workerLeaseExpiryMs(): number {
    return this.workerLeaseMs * (1 + 2 * MAX_CLOCK_DRIFT + this.get('workers.lease.margin.ratio'));
  }

  /** Wait within which tasks of the class should start, `null` if there is no such objective. */
  startObjectiveMs(className: string): number | null {
    const objective = this.platform.objectives.find(
      (candidate) => candidate.kind === 'wait' && candidate.class === className,
    );
    return objective?.withinS == null ? null : objective.withinS * 1000;
  }

  /** Wait within which tasks inside a team's guarantee should start, `null` if there is no such objective. */
  get guaranteeObjectiveMs(): number | null {
    const objective = this.platform.objectives.find(({ kind }) => kind === 'guarantee');
    return objective?.withinS == null ? null : objective.withinS * 1000;
  }

  /**
   * Times since its submission, in milliseconds, within which a job's tasks should start and the job should
   * end. `deadlineS`: the job's own deadline.
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

  /** A team's cap as a number to compare with: 0 in the settings means no cap. */
  static effectiveCap(value: number): number {
    return value > 0 ? value : Infinity;
  }
}
