/** Placement of gangs: all tasks at once, or a reservation for them. */
import type { Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import { setBlockedReason } from './blocked-reason.js';
import type { Candidate, CandidateFinder } from '../search/candidate-finder.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import type { GangReservations } from './gang-reservations.js';
import type { PlacementPass } from '../pass/placement-pass.js';
import type { TaskStarter } from './task-starter.js';
import type { TeamUsage } from '../../workers/team-usage.js';
import { addTasks, zoneAllowance, zoneChoices, type TasksByZone } from '../capacity/zones.js';

/** An image fetch that is no longer than this is made at once, in heartbeat intervals. */
const SHORT_FETCH_INTERVALS = 2;

/**
 * Waiting has to take less than this share of a fetch: fetches take their nominal time give or take a
 * third.
 */
const MAX_WAIT_TO_FETCH_RATIO = 0.7;

/** What the placement of gangs relies on. */
export interface GangPlacerParts {
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'startObjectiveMs'>;
  teamUsage: Pick<TeamUsage, 'allowance'>;
  estimator: Pick<DurationEstimator, 'fetchMs'>;
  candidateFinder: Pick<CandidateFinder, 'find'>;
  taskStarter: Pick<TaskStarter, 'nextAttempt' | 'start'>;
  reservations: Pick<GangReservations, 'drop' | 'find' | 'reserve'>;
}

/** Starts gangs that fit, and reserves machines for those that don't. */
export class GangPlacer {
  constructor(private readonly parts: GangPlacerParts) {}

  /** Starts the gang or, where it does not fit or better machines come free soon, reserves machines. */
  place(pass: PlacementPass, job: Job): void {
    const { reservations, teamUsage } = this.parts;
    const { tasks } = job.spec;
    if (teamUsage.allowance(job.spec) < tasks) {
      setBlockedReason(job, "its team's limit is used up");
      reservations.drop(job);
      return;
    }
    const picked = this.pickAny(pass, job);
    if (picked !== null && !this.worthWaiting(pass, job, picked)) {
      this.start(job, picked);
      return;
    }
    pass.shortages.push({ job, tasks });
    reservations.reserve(pass, job);
  }

  private start(job: Job, picked: readonly Candidate[]): void {
    const { reservations, taskStarter } = this.parts;
    const attempt = taskStarter.nextAttempt();
    for (const { capacity, count } of picked) taskStarter.start(job, capacity, count, attempt);
    setBlockedReason(job, '');
    job.preemptionClaimUntil = -Infinity;
    reservations.drop(job);
  }

  private pickAny(pass: PlacementPass, job: Job): Candidate[] | null {
    const candidates = this.parts.candidateFinder.find(pass, job);
    if (candidates.length === 0) return null;
    for (const zone of zoneChoices(pass.cluster, job.spec)) {
      const picked = pickForGang(job, candidates, zone);
      if (picked !== null) return picked;
    }
    return null;
  }

  /**
   * Whether to wait though the gang fits, for machines that have its image and are free before a fetch
   * on the picked ones would end.
   */
  private worthWaiting(pass: PlacementPass, job: Job, picked: readonly Candidate[]): boolean {
    const { estimator, reservations, settings } = this.parts;
    const fetchMs = Math.max(
      ...picked.map(({ capacity }) => estimator.fetchMs(job.spec, capacity.machine, pass.now)),
    );
    if (fetchMs <= settings.heartbeatIntervalMs * SHORT_FETCH_INTERVALS) return false;
    const { capacities, readyAt } = reservations.find(pass, job);
    if (capacities.length < job.spec.tasks) return false;
    const waitMs = readyAt - pass.now;
    const objectiveMs = settings.startObjectiveMs(job.spec.class);
    const timeToObjectiveMs = objectiveMs === null ? 0 : objectiveMs - (pass.now - job.submittedAt);
    // Waiting meets the objective and fetching does not, or waiting is clearly shorter.
    if (fetchMs > timeToObjectiveMs && waitMs < timeToObjectiveMs) return true;
    return waitMs < fetchMs * MAX_WAIT_TO_FETCH_RATIO;
  }
}

/** The best machines for all of the gang's tasks, in one zone where one is named; `null`: too few. */
export function pickForGang(
  { spec }: Job,
  candidates: readonly Candidate[],
  zone: string | null,
): Candidate[] | null {
  let unplaced = spec.tasks;
  const zones: TasksByZone = new Map();
  const picked: Candidate[] = [];
  for (const candidate of candidates) {
    const { zone: machineZone } = candidate.capacity.machine;
    if (zone !== null && machineZone !== zone) continue;
    const count = Math.min(unplaced, candidate.count, zoneAllowance(spec, machineZone, zones));
    if (count <= 0) continue;
    picked.push({ ...candidate, count });
    addTasks(zones, machineZone, count);
    unplaced -= count;
    if (unplaced === 0) return picked;
  }
  return null;
}
