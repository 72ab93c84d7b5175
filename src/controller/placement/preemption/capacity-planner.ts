/** Plans for when a machine has free capacity for a task, by itself or by preemption. */
import type { Settings } from '../../settings/settings.js';
import type { Assignment } from '../../model/entities.js';
import type { ResourceRequest } from '../../model/resource-request.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';
import { HypotheticalCapacity } from '../capacity/hypothetical-capacity.js';
import type { MachineForecast } from '../capacity/machine-forecast.js';
import {
  LOST_WORK_WEIGHT,
  planWithoutVictims,
  type CapacityPlan,
  type CapacitySearch,
} from './capacity-plan.js';
import type { MachineForecaster } from './machine-forecaster.js';
import type { PreemptionPolicy } from './preemption-policy.js';
import { VictimSelector } from './victim-selector.js';

/** How many tasks that may not be preempted are waited for on a machine while others are preempted. */
const MAX_AWAITED_TASKS = 4;

/** Finds out when machines should have free capacity, and what to preempt for it. */
export class CapacityPlanner {
  private readonly hypothetical = new HypotheticalCapacity();
  private readonly victimSelector: VictimSelector;

  constructor(
    private readonly settings: Pick<Settings, 'heartbeatIntervalMs'>,
    private readonly forecaster: MachineForecaster,
    private readonly policy: PreemptionPolicy,
  ) {
    this.victimSelector = new VictimSelector(settings, policy, this.hypothetical);
  }

  /** Whether tasks are being stopped on the machine, or might be for the job. Cheap: it is asked first. */
  mayFreeCapacity({ job, now }: CapacitySearch, capacity: FreeCapacity): boolean {
    const forecast = this.forecaster.forecast(capacity, now);
    return forecast.hasStopping || this.policy.mightPreempt(job, forecast);
  }

  /**
   * When the machine should have capacity for one more of the job's tasks, by itself or by preemption;
   * `null`: never. `plannedTasks`: tasks of the job that are to go there already; `plannedVictims`:
   * tasks that are to be preempted for them.
   */
  plan(
    search: CapacitySearch,
    capacity: FreeCapacity,
    plannedTasks: number,
    plannedVictims: Set<Assignment>,
  ): CapacityPlan | null {
    if (capacity.unschedulable) return null;
    const { now, job } = search;
    const { hypothetical } = this;
    hypothetical.reset(capacity, job.spec, plannedTasks);
    if (hypothetical.fits(job.spec)) return planWithoutVictims(now);
    const forecast = this.forecaster.forecast(capacity, now);
    const waitingPlan = this.planByWaiting(forecast, job.spec);
    // Soon free, by itself or because it was stopped: nothing more needs stopping.
    if (waitingPlan === null || waitingPlan.fillAt - now < this.settings.heartbeatIntervalMs)
      return waitingPlan;
    const fillAtByWaiting = waitingPlan.fillAt;
    const mightPreempt = this.policy.mightPreempt(job, forecast);
    if (!forecast.hasStopping && plannedVictims.size === 0 && !mightPreempt)
      return planWithoutVictims(fillAtByWaiting);
    hypothetical.reset(capacity, job.spec, plannedTasks);
    const stoppedAt = this.releaseStopping(forecast, plannedVictims, now);
    if (hypothetical.fits(job.spec)) return planWithoutVictims(stoppedAt, true);
    if (!mightPreempt) return planWithoutVictims(fillAtByWaiting);
    return this.planByPreemption(search, forecast, plannedVictims, stoppedAt, fillAtByWaiting);
  }

  /** The plan to wait until enough tasks have ended by themselves; `null`: there are never enough. */
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

  /** Releases what is being stopped, or will be for the job; returns when all of that has ended. */
  private releaseStopping(
    forecast: MachineForecast,
    plannedVictims: Set<Assignment>,
    now: number,
  ): number {
    const stopDeliveredAt = now + this.settings.heartbeatIntervalMs;
    let stoppedAt = stopDeliveredAt;
    for (const { assignment, endsAt } of forecast.expectedEnds) {
      const { stop, checkpointSaveS, request } = assignment;
      if (stop !== null) stoppedAt = Math.max(stoppedAt, endsAt);
      else if (plannedVictims.has(assignment))
        stoppedAt = Math.max(stoppedAt, stopDeliveredAt + checkpointSaveS * 1000);
      else continue;
      this.hypothetical.release(request);
    }
    return stoppedAt;
  }

  /**
   * The plan to preempt work, unless waiting until `naturalFillAt` costs less. Tasks that may not be
   * preempted are waited for, as few as will do, and the rest is preempted.
   */
  private planByPreemption(
    search: CapacitySearch,
    forecast: MachineForecast,
    plannedVictims: Set<Assignment>,
    stoppedAt: number,
    fillAtByWaiting: number,
  ): CapacityPlan {
    const { now, job } = search;
    const { eligible, others } = this.victimSelector.split(search, forecast, plannedVictims);
    if (eligible.length === 0) return planWithoutVictims(fillAtByWaiting);
    this.policy.sortVictims(eligible);
    let freeAt = stoppedAt;
    for (
      let awaitedCount = 0;
      awaitedCount <= others.length && awaitedCount <= MAX_AWAITED_TASKS;
      awaitedCount++
    ) {
      const awaited = others[awaitedCount - 1];
      if (awaited !== undefined) {
        freeAt = Math.max(freeAt, awaited.endsAt);
        this.hypothetical.release(awaited.assignment.request);
      }
      if (freeAt >= fillAtByWaiting || (search.onlyByPreemption && awaitedCount > 0)) break;
      const plan = this.victimSelector.select(job.spec, eligible, freeAt, now);
      if (plan === null) continue;
      const waitingIsCheaper = fillAtByWaiting < plan.fillAt + LOST_WORK_WEIGHT * plan.lostWorkMs;
      return waitingIsCheaper ? planWithoutVictims(fillAtByWaiting) : plan;
    }
    return planWithoutVictims(fillAtByWaiting);
  }
}
