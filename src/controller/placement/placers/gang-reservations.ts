/** Reservations of gangs that cannot start yet: kept on record until the gang starts or ends. */
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

const KEY_PREFIX = 'h/';

/** Work is stopped for a gang this long before its reservation should be full, in report intervals. */
const STOP_AHEAD = 3;

/** Time allowed for the victims' saves when work is stopped for a gang, as a ratio to the longest. */
const SAVE_MARGIN = 1.5;

/** The key of the record that has the machines which a gang has reserved. */
export function reservationKey(jobId: string): string {
  return `${KEY_PREFIX}${jobId}`;
}

/** The rooms that a gang fills up, and what is to be stopped for it. */
export interface GangCapacity {
  capacities: FreeCapacity[];
  fillAt: number;
  /** When it could run there, images included. */
  readyAt: number;
  victims: readonly Assignment[];
}

/** One machine for each task, as far as there are, and when all should have room. */
interface GangCandidates {
  candidates: ReservationCandidate[];
  fillAt: number;
}

/** What reservations rely on. */
export interface GangReservationParts {
  eventLoop: Pick<EventLoop, 'log' | 'now'>;
  settings: Pick<Settings, 'get' | 'heartbeatIntervalMs'>;
  records: Pick<RecordStore, 'list' | 'set'>;
  estimator: Pick<DurationEstimator, 'fetchMs'>;
  reservationCandidateFinder: Pick<ReservationCandidateFinder, 'find'>;
  preemptor: Pick<Preemptor, 'preemptAll'>;
}

/** Finds and keeps the machines that waiting gangs fill up. */
export class GangReservations {
  constructor(private readonly parts: GangReservationParts) {}

  /** The reservations of the leaders before, read at takeover. */
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

  /** Gives up what the gang has reserved. */
  drop(job: Job): void {
    if (job.reservation === null) return;
    job.reservation = null;
    this.parts.records.set(reservationKey(job.spec.id), undefined, 'deferrable');
  }

  /** Claims room for the gang against all lower ranks, and stops work once the gang is about to fit. */
  reserve(pass: PlacementPass, job: Job): void {
    const { preemptor, settings } = this.parts;
    const { tasks } = job.spec;
    const { capacities, fillAt, victims } = this.find(pass, job);
    for (const capacity of capacities) capacity.claimForTask(resourceRequestOf(job.spec), fillAt);
    const patienceMs = settings.get('placement.cannot.fill.s') * 1000;
    const machines = new Set(capacities).size;
    const there = `${capacities.length} of ${tasks} places on ${machines} machines`;
    const waited = pass.now - job.waitingSince > patienceMs;
    setBlockedReason(job, waited ? `cannot fill yet: holds ${there}` : '');
    // Stopping work pays only if the whole gang can start then, and soon: what else its rooms wait
    // for takes its time, and until then the work may go on.
    const soon = fillAt - pass.now <= this.stopAheadMs(victims);
    if (capacities.length === tasks && soon) preemptor.preemptAll(victims, job);
  }

  /**
   * How long before a gang's reservation should be full work is stopped for it. The victims' own
   * saves are no reason to put it off: where reports come often, a save takes many report intervals.
   */
  private stopAheadMs(victims: readonly Assignment[]): number {
    const { heartbeatIntervalMs } = this.parts.settings;
    const longestSaveMs = Math.max(0, ...victims.map((victim) => victim.checkpointSaveS)) * 1000;
    return Math.max(
      heartbeatIntervalMs * STOP_AHEAD,
      heartbeatIntervalMs + longestSaveMs * SAVE_MARGIN,
    );
  }

  /**
   * The rooms that the gang fills up: those it has reserved already, or after a while the best that
   * there are by now. Searching for them is what costs most in a pass.
   */
  find(pass: PlacementPass, job: Job): GangCapacity {
    const reserved = this.reserved(pass, job.reservation);
    if (reserved !== null) return reserved;
    const found = this.search(pass, job);
    this.keep(pass, job, found);
    return found;
  }

  /** `null`: nothing is reserved, not all of it can be used, or it is time for another search. */
  private reserved(pass: PlacementPass, reservation: GangReservation | null): GangCapacity | null {
    const { settings } = this.parts;
    const every = settings.heartbeatIntervalMs * settings.get('placement.hold.refresh.ratio');
    if (reservation === null || pass.now - reservation.searchedAt >= every) return null;
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
    const ready = candidates.map(
      ({ capacity }) => fillAt + estimator.fetchMs(job.spec, capacity.machine, pass.now),
    );
    return {
      capacities: candidates.map((candidate) => candidate.capacity),
      fillAt,
      readyAt: Math.max(...ready),
      victims: candidates.flatMap((candidate) => candidate.victims),
    };
  }

  /** Of the zones that the gang may be in, the one that has the most places, then the soonest. */
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
          ? { zoneAllowance: (_: string, there: number) => spreadAllowance(spec, there) }
          : {}),
        penalty: (capacity) => machinePenalty(job, capacity),
      });
      const whole = candidates.length === spec.tasks;
      const fillAt = whole
        ? Math.max(...candidates.map((candidate) => candidate.fillAt))
        : Infinity;
      const more = candidates.length - best.candidates.length;
      if (more > 0 || (more === 0 && fillAt < best.fillAt)) best = { candidates, fillAt };
    }
    return best;
  }

  private keep(pass: PlacementPass, job: Job, found: GangCapacity): void {
    const { eventLoop, records } = this.parts;
    const { fillAt, readyAt, victims } = found;
    const machines = found.capacities.map((capacity) => capacity.machine.id);
    if (job.reservation?.machines.join() !== machines.join())
      records.set(reservationKey(job.spec.id), machines, 'deferrable');
    const since = job.reservation?.reservedAt ?? pass.now;
    job.reservation = { machines, reservedAt: since, fillAt, readyAt, searchedAt: pass.now };
    eventLoop.log.debug(
      {
        job: job.spec.id,
        guaranteed: job.guaranteed,
        machines,
        fillMs: fillAt - pass.now,
        stops: victims.length,
      },
      'hold',
    );
  }
}
