/** Placement of tasks that start one by one: those of job arrays, and replicas of services. */
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

/** Tasks of one job for which work is preempted in one pass. */
const MAX_PREEMPTING_TASKS = 8;

/** What the placement of independent tasks relies on. */
export interface IndependentTaskPlacerParts {
  settings: Pick<Settings, 'get' | 'heartbeatIntervalMs'>;
  teamUsage: Pick<TeamUsage, 'allowance'>;
  startDeadlines: Pick<StartDeadlines, 'next'>;
  candidateFinder: Pick<CandidateFinder, 'find'>;
  taskStarter: Pick<TaskStarter, 'start'>;
  reservationCandidateFinder: Pick<ReservationCandidateFinder, 'find'>;
  preemptor: Pick<Preemptor, 'preemptAll'>;
}

/** Places tasks that start one by one, and preempts work for them where it may. */
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
   * Whether the job has time. It yields machines where it would fetch its image to jobs that need not:
   * it has its turn there after all others in the same pass. So nothing stands idle for it; and its
   * patience ends well before its start deadline.
   */
  private canWaitForImage(job: Job, now: number): boolean {
    const waitedMs = now - job.submittedAt;
    const deadlineMs = this.parts.startDeadlines.next(job, waitedMs);
    return (
      Number.isFinite(deadlineMs) &&
      waitedMs <= deadlineMs * this.parts.settings.get('placement.warm.share')
    );
  }

  /** Starts tasks where they fit; returns how many of those wanted fit nowhere. */
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

  /** Whether work may be preempted for the job, and the last search for it is long enough ago. */
  private mayPreempt(pass: PlacementPass, job: Job): boolean {
    const { settings } = this.parts;
    const refreshMs = settings.heartbeatIntervalMs * settings.get('placement.hold.refresh.ratio');
    const outranks = job.guaranteed || job.level > pass.lowestLevel;
    return outranks && pass.now - job.preemptionSearchedAt >= refreshMs;
  }

  /**
   * Preempts work for the job's tasks one by one, so that work inside a guarantee need not wait for what
   * others run on borrowed capacity.
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
