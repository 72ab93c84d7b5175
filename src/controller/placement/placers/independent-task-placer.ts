/** Placement of tasks that start independently: tasks of job arrays and replicas of services. */
import type { Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { CandidateFinder } from '../search/candidate-finder.js';
import { machineKindsKey } from '../pass/negative-search-cache.js';
import type { StartDeadlines } from '../estimates/start-deadlines.js';
import { machinePenalty } from '../search/machine-penalty.js';
import type { PlacementPass } from '../pass/placement-pass.js';
import type { Preemptor } from '../preemption/preemptor.js';
import type { QueuedJob } from '../pass/rank.js';
import { spreadReplicas } from '../search/replica-spread.js';
import { resourceRequestOf } from '../../model/resource-request.js';
import type { ReservationCandidateFinder } from '../search/reservation-candidate-finder.js';
import type { TaskStarter } from './task-starter.js';
import type { TeamUsage } from '../../workers/team-usage.js';
import { addTasks, tasksByZone, zoneAllowance, type TasksByZone } from '../capacity/zones.js';

/** In one pass, other tasks are preempted for at most this many tasks of a job. */
const MAX_PREEMPTING_TASKS = 8;

/** Dependencies of `IndependentTaskPlacer`. */
export interface IndependentTaskPlacerParts {
  settings: Pick<Settings, 'get' | 'heartbeatIntervalMs'>;
  teamUsage: Pick<TeamUsage, 'allowance'>;
  startDeadlines: Pick<StartDeadlines, 'next'>;
  candidateFinder: Pick<CandidateFinder, 'find'>;
  taskStarter: Pick<TaskStarter, 'start'>;
  reservationCandidateFinder: Pick<ReservationCandidateFinder, 'find'>;
  preemptor: Pick<Preemptor, 'preemptAll'>;
}

/** Places tasks that start independently, and preempts other tasks for them if their job may do so. */
export class IndependentTaskPlacer {
  constructor(private readonly parts: IndependentTaskPlacerParts) {}

  /** Places as many of the job's tasks as fit and as its team's limit allows. */
  place(pass: PlacementPass, queued: QueuedJob): void {
    const { job } = queued;
    const warmOnly = !queued.acceptsFetch && this.canWaitForImage(job, pass.now);
    const allowedTasks = Math.min(job.pending.length, this.parts.teamUsage.allowance(job.spec));
    if (allowedTasks === 0) return;
    const unplaced = this.start(pass, job, allowedTasks, warmOnly);
    if (unplaced === 0) job.preemptionClaimUntil = -Infinity;
    else if (warmOnly) pass.requeue({ ...queued, acceptsFetch: true });
    else {
      pass.shortages.push({ job, tasks: unplaced });
      if (this.mayPreempt(pass, job)) {
        job.preemptionSearchedAt = pass.now;
        this.preemptForTasks(pass, job, unplaced);
      }
    }
  }

  /**
   * Returns whether the next start deadline is far enough away for the job to prefer machines that have its
   * image. The job then tries the other machines only at the end of the pass. Before that, these machines may
   * start jobs whose images they have. No machine stays idle because of the preference. The preference ends
   * well before the deadline.
   */
  private canWaitForImage(job: Job, now: number): boolean {
    const waitedMs = now - job.submittedAt;
    const deadlineMs = this.parts.startDeadlines.next(job, waitedMs);
    return (
      Number.isFinite(deadlineMs) &&
      waitedMs <= deadlineMs * this.parts.settings.get('placement.warm.share')
    );
  }

  /** Starts at most `maxTasks` tasks; returns how many of them did not fit. */
  private start(pass: PlacementPass, job: Job, maxTasks: number, warmOnly: boolean): number {
    const { spec } = job;
    const isZoneLimited = spec.singleZone || spec.spread;
    const zones: TasksByZone = isZoneLimited ? tasksByZone(job) : new Map<string, number>();
    const candidates = this.parts.candidateFinder.find(pass, job, warmOnly);
    let unplaced = maxTasks;
    for (const { capacity, count } of job.isService
      ? spreadReplicas(job, candidates)
      : candidates) {
      const { zone } = capacity.machine;
      const allowance = isZoneLimited ? zoneAllowance(spec, zone, zones) : Infinity;
      const tasks = Math.min(unplaced, count, allowance);
      if (tasks <= 0) continue;
      this.parts.taskStarter.start(job, capacity, tasks);
      addTasks(zones, zone, tasks);
      unplaced -= tasks;
      if (unplaced === 0) break;
    }
    return unplaced;
  }

  /** Returns whether the job may preempt tasks and its last search for victims was long enough ago. */
  private mayPreempt(pass: PlacementPass, job: Job): boolean {
    const { settings } = this.parts;
    const refreshMs = settings.heartbeatIntervalMs * settings.get('placement.hold.refresh.ratio');
    const outranks = job.guaranteed || job.level > pass.lowestLevel;
    return outranks && pass.now - job.preemptionSearchedAt >= refreshMs;
  }

  /**
   * Preempts victims for the job's tasks, one task at a time, so that a job covered by its team's guarantee
   * does not wait for tasks that other teams run on borrowed capacity.
   */
  private preemptForTasks(pass: PlacementPass, job: Job, tasks: number): void {
    const kinds = pass.cluster.ofKindsAllowedFor(job.spec);
    const request = resourceRequestOf(job.spec);
    const { team } = job.spec;
    const { guaranteed, level } = job;
    const query = { request, kinds: machineKindsKey(kinds), team, guaranteed, level };
    if (pass.negativeSearches.hasNoVictims(query)) return;
    const capacities = kinds
      .flat()
      .filter((capacity) => !job.avoids(capacity.machine.id, pass.now));
    const candidates = this.parts.reservationCandidateFinder.find({
      now: pass.now,
      job,
      capacities,
      count: Math.min(tasks, MAX_PREEMPTING_TASKS),
      onlyByPreemption: true,
      penalty: (capacity) => machinePenalty(job, capacity),
    });
    if (candidates.length === 0 && job.avoidedMachines.size === 0)
      pass.negativeSearches.addNoVictims(query);
    for (const candidate of candidates) {
      if (!this.parts.preemptor.preemptAll(candidate.victims, job)) return;
      candidate.capacity.claimForTask(request, candidate.fillAt);
    }
  }
}
