/** Placement of gangs: starts all tasks of a gang at once, or reserves machines for them. */
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

/** A gang never waits in order to avoid an image fetch that takes at most this many heartbeat intervals. */
const SHORT_FETCH_INTERVALS = 2;

/**
 * A gang waits for machines that have its image only if the wait is shorter than this fraction of the
 * fetch time. The margin is needed because fetches differ from their nominal time by up to a third.
 */
const MAX_WAIT_TO_FETCH_RATIO = 0.7;

/** Dependencies of `GangPlacer`. */
export interface GangPlacerParts {
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'startObjectiveMs'>;
  teamUsage: Pick<TeamUsage, 'allowance'>;
  estimator: Pick<DurationEstimator, 'fetchMs'>;
  candidateFinder: Pick<CandidateFinder, 'find'>;
  taskStarter: Pick<TaskStarter, 'nextAttempt' | 'start'>;
  reservations: Pick<GangReservations, 'drop' | 'find' | 'reserve'>;
}

/** Starts gangs that fit now, and reserves machines for the others. */
export class GangPlacer {
  constructor(private readonly parts: GangPlacerParts) {}

  /** Starts the gang, or reserves machines if it does not fit or better machines will be free soon. */
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
   * Returns whether a gang that fits now should wait nevertheless. The picked machines have to fetch its image,
   * so the gang may run earlier on other machines that will be free soon.
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
    // Wait if only waiting meets the start objective, or if waiting is clearly shorter than the fetch.
    if (fetchMs > timeToObjectiveMs && waitMs < timeToObjectiveMs) return true;
    return waitMs < fetchMs * MAX_WAIT_TO_FETCH_RATIO;
  }
}

/**
 * Picks machines for all of the gang's tasks, in the order of `candidates`. If `zone` is not null, skips
 * the machines of other zones. Returns null if the machines have too little capacity for the whole gang.
 */
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
