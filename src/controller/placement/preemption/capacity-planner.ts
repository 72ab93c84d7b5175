/** When a machine should have room for a task, by itself or by stopping others. */
import type { Assignment, Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { ResourceRequest } from '../../model/resource-request.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import { HypotheticalCapacity } from '../capacity/hypothetical-capacity.js';
import type { ExpectedEnd, MachineForecast } from '../capacity/machine-forecast.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';
import type { PreemptionPolicy } from './preemption-policy.js';

/** Room for one task: from when on, and what has to be stopped for it. */
export interface CapacityPlan {
  fillAt: number;
  victims: readonly Assignment[];
  /** Work that stopping the victims would lose. */
  lostWorkMs: number;
  /** Room is being made already. */
  hasStopping: boolean;
}

/** What room is wanted for. */
export interface CapacitySearch {
  now: number;
  job: Job;
  /** Only room that is being made, or for which work would be stopped. */
  onlyByPreemption: boolean;
}

/** How much sooner a gang has to start for each second of work that is lost for it. */
export const LOST_WORK_WEIGHT = 0.15;

/** Tasks that may not be stopped and are waited for in a room, while others are stopped. */
const MAX_WAITS = 4;

const NO_VICTIMS: readonly Assignment[] = [];

/** Room for which nothing more has to be stopped. */
function planWithoutVictims(fillAt: number, hasStopping = false): CapacityPlan {
  return { fillAt, victims: NO_VICTIMS, lostWorkMs: 0, hasStopping };
}

/** Finds out when machines should have room, and what to stop for it. */
export class CapacityPlanner {
  private readonly hypothetical = new HypotheticalCapacity();

  constructor(
    private readonly settings: Pick<Settings, 'heartbeatIntervalMs'>,
    private readonly estimator: Pick<DurationEstimator, 'remainingMs'>,
    private readonly policy: PreemptionPolicy,
  ) {}

  /** Whether anything is being stopped there, or might be for the job. A cheap question, asked first. */
  mayFreeCapacity(search: CapacitySearch, capacity: FreeCapacity): boolean {
    const forecast = this.forecast(capacity, search.now);
    return forecast.hasStopping || this.policy.mightPreempt(search.job, forecast);
  }

  /**
   * When a machine should have room for one more of the job's tasks, by itself or by stopping work;
   * `null`: never. `taken`: tasks of the job that are to go there already, `used`: tasks that are to be
   * stopped for them.
   */
  plan(
    search: CapacitySearch,
    capacity: FreeCapacity,
    plannedTasks: number,
    plannedVictims: Set<Assignment>,
  ): CapacityPlan | null {
    if (capacity.unschedulable) return null;
    const { now, job } = search;
    const { heartbeatIntervalMs } = this.settings;
    const { hypothetical } = this;
    hypothetical.reset(capacity, job.spec, plannedTasks);
    if (hypothetical.fits(job.spec)) return planWithoutVictims(now);
    const forecast = this.forecast(capacity, now);
    const byItself = this.planByWaiting(forecast, job.spec);
    // Soon free, by itself or because it was stopped: nothing more needs stopping.
    if (byItself === null || byItself.fillAt - now < heartbeatIntervalMs) return byItself;
    const natural = byItself.fillAt;
    const mightStop = this.policy.mightPreempt(job, forecast);
    if (!forecast.hasStopping && plannedVictims.size === 0 && !mightStop)
      return planWithoutVictims(natural);
    hypothetical.reset(capacity, job.spec, plannedTasks);
    const coming = this.releaseStopping(forecast, plannedVictims, now);
    if (hypothetical.fits(job.spec)) return planWithoutVictims(coming, true);
    if (!mightStop) return planWithoutVictims(natural);
    return this.planByPreemption(search, forecast, plannedVictims, coming, natural);
  }

  /** Room once enough tasks have ended, with nothing more stopped; `null`: there is never enough. */
  private planByWaiting(forecast: MachineForecast, request: ResourceRequest): CapacityPlan | null {
    let hasStopping = false;
    for (const { assignment, endsAt } of forecast.expectedEnds) {
      this.hypothetical.release(assignment.request);
      if (assignment.stop !== null) hasStopping = true;
      if (!this.hypothetical.fits(request)) continue;
      return endsAt === Infinity ? null : planWithoutVictims(endsAt, hasStopping);
    }
    return null;
  }

  /** A room's tasks in the order in which they should end by themselves, and what may be stopped. */
  forecast(capacity: FreeCapacity, now: number): MachineForecast {
    if (capacity.forecast !== null) return capacity.forecast;
    const forecast: MachineForecast = {
      expectedEnds: [],
      hasStopping: false,
      longestSaveMs: 0,
      lowestLevel: Infinity,
      hasUnguaranteed: false,
    };
    const youngAfter = this.policy.latestEligibleStart(now);
    for (const assignment of capacity.machine.assignments.values()) {
      if (assignment.phase === 'ended') continue;
      const { job, assignedAt, checkpointSaveS, stop } = assignment;
      forecast.expectedEnds.push({
        assignment,
        endsAt: now + this.estimator.remainingMs(assignment, now),
      });
      forecast.longestSaveMs = Math.max(forecast.longestSaveMs, checkpointSaveS * 1000);
      if (stop !== null) forecast.hasStopping = true;
      else if (job !== null && assignedAt <= youngAfter) {
        if (job.level < forecast.lowestLevel) forecast.lowestLevel = job.level;
        if (!job.guaranteed) forecast.hasUnguaranteed = true;
      }
    }
    if (forecast.expectedEnds.length > 1)
      forecast.expectedEnds.sort((first, second) => first.endsAt - second.endsAt);
    capacity.forecast = forecast;
    return forecast;
  }

  /** Adds what is being stopped, or will be for the job; returns when all of that has ended. */
  private releaseStopping(
    forecast: MachineForecast,
    plannedVictims: Set<Assignment>,
    now: number,
  ): number {
    const { heartbeatIntervalMs } = this.settings;
    let coming = now + heartbeatIntervalMs;
    for (const { assignment, endsAt } of forecast.expectedEnds) {
      const { stop, checkpointSaveS, request } = assignment;
      if (stop !== null) coming = Math.max(coming, endsAt);
      else if (plannedVictims.has(assignment))
        coming = Math.max(coming, now + heartbeatIntervalMs + checkpointSaveS * 1000);
      else continue;
      this.hypothetical.release(request);
    }
    return coming;
  }

  /**
   * Room by stopping work, unless waiting until `natural` costs less. What may not be stopped is waited
   * for, and the rest stopped: as few waits as will do.
   */
  private planByPreemption(
    search: CapacitySearch,
    forecast: MachineForecast,
    plannedVictims: Set<Assignment>,
    stoppedAt: number,
    natural: number,
  ): CapacityPlan {
    const { now, job } = search;
    const { choice, others } = this.splitByPolicy(search, forecast, plannedVictims);
    if (choice.length === 0) return planWithoutVictims(natural);
    this.policy.sortVictims(choice);
    let coming = stoppedAt;
    for (let waits = 0; waits <= others.length && waits <= MAX_WAITS; waits++) {
      const last = others[waits - 1];
      if (last !== undefined) {
        coming = Math.max(coming, last.endsAt);
        this.hypothetical.release(last.assignment.request);
      }
      if (coming >= natural || (search.onlyByPreemption && waits > 0)) break;
      const made = this.selectVictims(job.spec, choice, coming, now);
      if (made === null) continue;
      const cheaper = natural < made.fillAt + LOST_WORK_WEIGHT * made.lostWorkMs;
      return cheaper ? planWithoutVictims(natural) : made;
    }
    return planWithoutVictims(natural);
  }

  /** What goes on in the room: what may be stopped for the job, and the rest. */
  private splitByPolicy(
    { now, job }: CapacitySearch,
    forecast: MachineForecast,
    plannedVictims: Set<Assignment>,
  ): { choice: ExpectedEnd[]; others: ExpectedEnd[] } {
    const choice: ExpectedEnd[] = [];
    const others: ExpectedEnd[] = [];
    for (const end of forecast.expectedEnds) {
      const { assignment } = end;
      if (assignment.stop !== null || plannedVictims.has(assignment)) continue;
      (this.policy.mayPreempt(job, now, assignment) ? choice : others).push(end);
    }
    return { choice, others };
  }

  /** What is to be stopped, of what has not ended by itself by then, for room that lacks only that. */
  private selectVictims(
    request: ResourceRequest,
    choice: readonly ExpectedEnd[],
    coming: number,
    now: number,
  ): CapacityPlan | null {
    const { hypothetical } = this;
    const added: ResourceRequest[] = [];
    for (const { assignment, endsAt } of choice) {
      if (endsAt > coming) continue;
      hypothetical.release(assignment.request);
      added.push(assignment.request);
    }
    let fillAt = coming;
    const victims: Assignment[] = [];
    for (const { assignment, endsAt } of choice) {
      if (hypothetical.fits(request)) break;
      if (endsAt <= coming) continue;
      victims.push(assignment);
      hypothetical.release(assignment.request);
      added.push(assignment.request);
      fillAt = Math.max(
        fillAt,
        now + this.settings.heartbeatIntervalMs + assignment.checkpointSaveS * 1000,
      );
    }
    const enough = hypothetical.fits(request);
    if (enough) this.spareNeedless(request, victims, added);
    for (const back of added) hypothetical.allocate(back);
    if (!enough) return null;
    const lostWorkMs = victims.reduce(
      (sum, victim) => sum + this.policy.lostWorkMs(victim, now),
      0,
    );
    return { fillAt, victims, lostWorkMs, hasStopping: false };
  }

  /** Victims that the rest made needless are spared. */
  private spareNeedless(
    request: ResourceRequest,
    victims: Assignment[],
    added: ResourceRequest[],
  ): void {
    const { hypothetical } = this;
    for (const victim of [...victims]) {
      hypothetical.allocate(victim.request);
      if (hypothetical.fits(request)) {
        victims.splice(victims.indexOf(victim), 1);
        added.splice(added.indexOf(victim.request), 1);
      } else hypothetical.release(victim.request);
    }
  }
}
