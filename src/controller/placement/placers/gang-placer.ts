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

/** A fetch shorter than this is not worth waiting for other machines, in report intervals. */
const SHORT_FETCH = 2;

/** Waiting has to take clearly less than the fetch: fetches take their nominal time give or take a third. */
const CLEARLY_SOONER = 0.7;

/** What the placement of gangs relies on. */
export interface GangPlacerParts {
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'startObjectiveMs'>;
  teamUsage: Pick<TeamUsage, 'allowance'>;
  estimator: Pick<DurationEstimator, 'fetchMs'>;
  candidateFinder: Pick<CandidateFinder, 'find'>;
  taskStarter: Pick<TaskStarter, 'nextAttempt' | 'start'>;
  reservations: Pick<GangReservations, 'drop' | 'find' | 'reserve'>;
}

/** Starts gangs that fit and reserves room for those that don't. */
export class GangPlacer {
  constructor(private readonly parts: GangPlacerParts) {}

  /** Starts the gang or, where it does not fit or better machines come free soon, reserves room. */
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
    const found = this.parts.candidateFinder.find(pass, job);
    if (found.length === 0) return null;
    for (const zone of zoneChoices(pass.cluster, job.spec)) {
      const picked = pickForGang(job, found, zone);
      if (picked !== null) return picked;
    }
    return null;
  }

  /**
   * Room is there, but without the image: machines that have it may be free before a fetch would
   * end.
   */
  private worthWaiting(pass: PlacementPass, job: Job, picked: readonly Candidate[]): boolean {
    const { estimator, reservations, settings } = this.parts;
    const fetch = Math.max(
      ...picked.map(({ capacity }) => estimator.fetchMs(job.spec, capacity.machine, pass.now)),
    );
    if (fetch <= settings.heartbeatIntervalMs * SHORT_FETCH) return false;
    const { capacities, readyAt } = reservations.find(pass, job);
    if (capacities.length < job.spec.tasks) return false;
    const ready = readyAt - pass.now;
    const within = settings.startObjectiveMs(job.spec.class);
    const left = within === null ? 0 : within - (pass.now - job.submittedAt);
    // The one would be in time and the other would not; or it is clearly sooner.
    if (fetch > left && ready < left) return true;
    return ready < fetch * CLEARLY_SOONER;
  }
}

/** The best places for all of the gang's tasks, in one zone where one is named; `null`: too few. */
export function pickForGang(
  { spec }: Job,
  found: readonly Candidate[],
  zone: string | null,
): Candidate[] | null {
  let left = spec.tasks;
  const zones: TasksByZone = new Map();
  const picked: Candidate[] = [];
  for (const candidate of found) {
    const { zone: itsZone } = candidate.capacity.machine;
    if (zone !== null && itsZone !== zone) continue;
    const count = Math.min(left, candidate.count, zoneAllowance(spec, itsZone, zones));
    if (count <= 0) continue;
    picked.push({ ...candidate, count });
    addTasks(zones, itsZone, count);
    left -= count;
    if (left === 0) return picked;
  }
  return null;
}
