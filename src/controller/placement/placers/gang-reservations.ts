/** Reservations of gangs that cannot start yet: recorded until the gang starts or ends (m03 R2). */
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

/** Prefix of the keys of recorded reservations; the job's id follows. */
const KEY_PREFIX = 'h/';

/** Work is preempted this long before a gang's reservation should be filled, in heartbeat intervals. */
const PREEMPTION_LEAD_INTERVALS = 3;

/** Time allowed for the victims to save their checkpoints, as a ratio to the longest save. */
const SAVE_MARGIN = 1.5;

/** The key of the record of the machines that a gang has reserved. */
export function reservationKey(jobId: string): string {
  return `${KEY_PREFIX}${jobId}`;
}

/** The machines that a gang reserves, and what is to be preempted for it. */
export interface GangCapacity {
  /** One for each task, as far as there are. */
  capacities: FreeCapacity[];
  /** When all of them should have free capacity; `Infinity`: never. */
  fillAt: number;
  /** When the gang could run there, image fetches included. */
  readyAt: number;
  victims: readonly Assignment[];
}

/** One candidate for each task, as far as there are, and when all should have free capacity. */
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

/** Finds and keeps the machines that waiting gangs reserve. */
export class GangReservations {
  constructor(private readonly parts: GangReservationParts) {}

  /** Restores the recorded reservations after a failover, and deletes those of jobs that are gone. */
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

  /** Claims capacity for the gang against lower ranks, and preempts work once the gang is about to fit. */
  reserve(pass: PlacementPass, job: Job): void {
    const { preemptor, settings } = this.parts;
    const { tasks } = job.spec;
    const { capacities, fillAt, victims } = this.find(pass, job);
    for (const capacity of capacities) capacity.claimForTask(resourceRequestOf(job.spec), fillAt);
    const longWaitMs = settings.get('placement.cannot.fill.s') * 1000;
    const machineCount = new Set(capacities).size;
    const places = `${capacities.length} of ${tasks} places on ${machineCount} machines`;
    const hasWaitedLong = pass.now - job.waitingSince > longWaitMs;
    setBlockedReason(job, hasWaitedLong ? `cannot fill yet: holds ${places}` : '');
    // Preemption pays only if the whole gang can start then, and soon: until what else it waits for has
    // ended, the work may go on.
    const fillsSoon = fillAt - pass.now <= this.preemptionLeadMs(victims);
    if (capacities.length === tasks && fillsSoon) preemptor.preemptAll(victims, job);
  }

  /**
   * How long before a gang's reservation should be filled work is preempted for it. The victims' saves
   * are no reason to put it off: where heartbeats come often, a save takes many heartbeat intervals.
   */
  private preemptionLeadMs(victims: readonly Assignment[]): number {
    const { heartbeatIntervalMs } = this.parts.settings;
    const longestSaveMs = Math.max(0, ...victims.map((victim) => victim.checkpointSaveS)) * 1000;
    return Math.max(
      heartbeatIntervalMs * PREEMPTION_LEAD_INTERVALS,
      heartbeatIntervalMs + longestSaveMs * SAVE_MARGIN,
    );
  }

  /**
   * The machines for the gang: those it has reserved already, or after a while the best that there are by
   * now. Searching for them is what costs most in a pass.
   */
  find(pass: PlacementPass, job: Job): GangCapacity {
    const reservedCapacity = this.findReserved(pass, job.reservation);
    if (reservedCapacity !== null) return reservedCapacity;
    const gangCapacity = this.search(pass, job);
    this.store(pass, job, gangCapacity);
    return gangCapacity;
  }

  /** `null`: nothing is reserved, some of it cannot be used, or it is time for another search. */
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

  /** Of the zones that the gang may be in, the one with the most candidates, then the soonest. */
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
