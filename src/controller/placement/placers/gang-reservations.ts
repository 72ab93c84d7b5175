/** Reservations of gangs that cannot start yet, recorded until the gang starts or ends (m03 R2). */
import type { EventLoop } from '../../runtime/event-loop.js';
import type { GangReservation } from '../../model/job.js';
import type { Assignment, Job } from '../../model/entities.js';
import type { JobTable } from '../../jobs/job-table.js';
import type { Settings } from '../../settings/settings.js';
import type { RecordStore } from '../../store/record-store.js';
import { setBlockedReason } from './blocked-reason.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import { machinePenalty } from '../search/machine-penalty.js';
import type { PlacementPass } from '../pass/placement-pass.js';
import type { Preemptor } from '../preemption/preemptor.js';
import { resourceRequestOf } from '../../model/resource-request.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';
import type {
  ReservationCandidate,
  ReservationCandidateFinder,
} from '../search/reservation-candidate-finder.js';
import { spreadAllowance, zoneChoices } from '../capacity/zones.js';

/** Prefix of the keys of reservation records; the job id follows it. */
const KEY_PREFIX = 'h/';

/**
 * Minimum lead time of preemption before the expected fill of a reservation, in heartbeat intervals. The lead
 * time is longer if the victims need more time to save their checkpoints.
 */
const PREEMPTION_LEAD_TIME_INTERVALS = 3;

/** Time allowed for the victims to save their checkpoints, as a multiple of the longest save time. */
const SAVE_MARGIN_FACTOR = 1.5;

/** Returns the key of the record that holds a gang's reservation. */
export function reservationKey(jobId: string): string {
  return `${KEY_PREFIX}${jobId}`;
}

/** The capacity that a gang reserves, and the tasks to preempt for it. Times are on the monotonic clock in ms. */
export interface GangCapacity {
  /** One entry per task; fewer if there are not enough machines. A machine may occur several times. */
  capacities: FreeCapacity[];
  /** When all machines are expected to have free capacity; `Infinity` if that is never expected. */
  fillAt: number;
  /** When the gang is expected to start running, after all image fetches on its machines. */
  readyAt: number;
  /** The tasks to preempt. */
  victims: readonly Assignment[];
}

/** The candidates found for a gang. Times are on the monotonic clock in ms. */
interface GangCandidates {
  /** One candidate per task; fewer if there are not enough machines. */
  candidates: ReservationCandidate[];
  /** When all candidates are expected to have free capacity; `Infinity` if there are too few candidates. */
  fillAt: number;
}

/** Dependencies of `GangReservations`. */
export interface GangReservationParts {
  eventLoop: Pick<EventLoop, 'log' | 'now'>;
  settings: Pick<Settings, 'get' | 'heartbeatIntervalMs'>;
  records: Pick<RecordStore, 'list' | 'set'>;
  estimator: Pick<DurationEstimator, 'fetchMs'>;
  reservationCandidateFinder: Pick<ReservationCandidateFinder, 'find'>;
  preemptor: Pick<Preemptor, 'preemptAll'>;
}

/** Finds machines for waiting gangs to reserve, and records the reservations. */
export class GangReservations {
  constructor(private readonly parts: GangReservationParts) {}

  /** Restores the recorded reservations after a failover, and deletes those of unknown jobs. */
  load({ jobs }: Pick<JobTable, 'jobs'>): void {
    const { eventLoop, records } = this.parts;
    for (const { key, value } of records.list(KEY_PREFIX)) {
      const job = jobs.get(key.slice(KEY_PREFIX.length));
      if (job === undefined || !Array.isArray(value)) records.set(key, undefined, 'deferrable');
      else {
        job.reservation = {
          machines: value.map(String),
          reservedAt: eventLoop.now(),
          fillAt: Infinity,
          readyAt: Infinity,
          searchedAt: -Infinity,
        };
      }
    }
  }

  /** Removes the gang's reservation and its record. */
  drop(job: Job): void {
    if (job.reservation === null) return;
    job.reservation = null;
    this.parts.records.set(reservationKey(job.spec.id), undefined, 'deferrable');
  }

  /**
   * Claims capacity for the gang; lower-ranked jobs may use it in this pass only to backfill it. Preempts
   * tasks once the whole gang is about to fit.
   */
  reserve(pass: PlacementPass, job: Job): void {
    const { preemptor, settings } = this.parts;
    const { tasks } = job.spec;
    const { capacities, fillAt, victims } = this.find(pass, job);
    for (const capacity of capacities) capacity.claimForTask(resourceRequestOf(job.spec), fillAt);
    const longWaitMs = settings.get('placement.cannot.fill.s') * 1000;
    const machineCount = new Set(capacities).size;
    const reservationSummary = `${capacities.length} of ${tasks} places on ${machineCount} machines`;
    const hasWaitedLong = pass.now - job.waitingSince > longWaitMs;
    setBlockedReason(job, hasWaitedLong ? `cannot fill yet: holds ${reservationSummary}` : '');
    // Preempting is useful only if it lets the whole gang start soon. While the gang also waits for other
    // tasks to end, the victims may keep running.
    const fillsSoon = fillAt - pass.now <= this.preemptionLeadTimeMs(victims);
    if (capacities.length === tasks && fillsSoon) preemptor.preemptAll(victims, job);
  }

  /**
   * Returns how long before the expected fill of a reservation the victims may be preempted, in ms. The
   * expected fill includes the time in which the victims save their checkpoints. A save can take many
   * heartbeat intervals, so preemption would never begin if the lead time were a fixed number of them.
   */
  private preemptionLeadTimeMs(victims: readonly Assignment[]): number {
    const { heartbeatIntervalMs } = this.parts.settings;
    const longestSaveMs = Math.max(0, ...victims.map((victim) => victim.checkpointSaveS)) * 1000;
    return Math.max(
      heartbeatIntervalMs * PREEMPTION_LEAD_TIME_INTERVALS,
      heartbeatIntervalMs + longestSaveMs * SAVE_MARGIN_FACTOR,
    );
  }

  /**
   * Returns the machines for the gang: those of its reservation, or the result of a new search if the
   * reservation is too old or unusable. Results are reused because the search is the most expensive part
   * of a pass.
   */
  find(pass: PlacementPass, job: Job): GangCapacity {
    const reservedCapacity = this.findReserved(pass, job.reservation);
    if (reservedCapacity !== null) return reservedCapacity;
    const gangCapacity = this.search(pass, job);
    this.store(pass, job, gangCapacity);
    return gangCapacity;
  }

  /**
   * Returns the capacity of the reservation, or null if there is none, one of its machines is unusable, or a
   * new search is due.
   */
  private findReserved(
    pass: PlacementPass,
    reservation: GangReservation | null,
  ): GangCapacity | null {
    const { settings } = this.parts;
    const refreshMs = settings.heartbeatIntervalMs * settings.get('placement.hold.refresh.ratio');
    if (reservation === null || pass.now - reservation.searchedAt >= refreshMs) return null;
    const capacities: FreeCapacity[] = [];
    for (const id of reservation.machines) {
      const capacity = pass.cluster.byMachineId.get(id);
      if (capacity === undefined || capacity.unschedulable) return null;
      capacities.push(capacity);
    }
    const { fillAt, readyAt } = reservation;
    return { capacities, fillAt, readyAt, victims: [] };
  }

  private search(pass: PlacementPass, job: Job): GangCapacity {
    const { estimator } = this.parts;
    const { candidates, fillAt } = this.bestCandidates(pass, job);
    const readyTimes = candidates.map(
      ({ capacity }) => fillAt + estimator.fetchMs(job.spec, capacity.machine, pass.now),
    );
    return {
      capacities: candidates.map((candidate) => candidate.capacity),
      fillAt,
      readyAt: Math.max(...readyTimes),
      victims: candidates.flatMap((candidate) => candidate.victims),
    };
  }

  /**
   * Searches the zones in which the gang may run: one zone after the other if it needs a single zone,
   * otherwise all zones together. Returns the result with the most candidates; among equal ones, the one that
   * is filled earliest.
   */
  private bestCandidates(pass: PlacementPass, job: Job): GangCandidates {
    const { spec } = job;
    let best: GangCandidates = { candidates: [], fillAt: Infinity };
    for (const zone of zoneChoices(pass.cluster, spec)) {
      const candidates = this.parts.reservationCandidateFinder.find({
        now: pass.now,
        job,
        capacities: pass.cluster.ofKindsAllowedFor(spec, zone).flat(),
        count: spec.tasks,
        onlyByPreemption: false,
        ...(spec.spread
          ? {
              zoneAllowance: (_: string, tasksInZone: number) => spreadAllowance(spec, tasksInZone),
            }
          : {}),
        penalty: (capacity) => machinePenalty(job, capacity),
      });
      const isComplete = candidates.length === spec.tasks;
      const fillAt = isComplete
        ? Math.max(...candidates.map((candidate) => candidate.fillAt))
        : Infinity;
      const additionalCandidates = candidates.length - best.candidates.length;
      if (additionalCandidates > 0 || (additionalCandidates === 0 && fillAt < best.fillAt))
        best = { candidates, fillAt };
    }
    return best;
  }

  private store(pass: PlacementPass, job: Job, gangCapacity: GangCapacity): void {
    const { eventLoop, records } = this.parts;
    const { fillAt, readyAt, victims } = gangCapacity;
    const machines = gangCapacity.capacities.map((capacity) => capacity.machine.id);
    if (job.reservation?.machines.join() !== machines.join())
      records.set(reservationKey(job.spec.id), machines, 'deferrable');
    const reservedAt = job.reservation?.reservedAt ?? pass.now;
    job.reservation = { machines, reservedAt, fillAt, readyAt, searchedAt: pass.now };
    eventLoop.log.debug(
      {
        job: job.spec.id,
        guaranteed: job.guaranteed,
        machines,
        fillMs: fillAt - pass.now,
        victims: victims.length,
      },
      'reservation updated',
    );
  }
}
