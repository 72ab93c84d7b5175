/** Finds out when a machine will have free capacity for a task, with or without preemption. */
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

/** A plan with preemption waits for the ends of at most this many tasks that the job must not preempt. */
const MAX_AWAITED_TASKS = 4;

/** Plans when machines will have free capacity, and which tasks to preempt for it. */
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

  /**
   * Returns whether tasks on the machine are being stopped or might be preempted for the job. This is a
   * cheap check to make before `plan`.
   */
  mayFreeCapacity({ job, now }: CapacitySearch, capacity: FreeCapacity): boolean {
    const forecast = this.forecaster.forecast(capacity, now);
    return forecast.hasStopping || this.policy.mightPreempt(job, forecast);
  }

  /**
   * Plans when the machine will have capacity for one more of the job's tasks, with or without preemption.
   * @param search - the job, the time and the restrictions of the search
   * @param capacity - the free capacity of the machine
   * @param plannedTasks - number of the job's tasks that are already planned for the machine
   * @param plannedVictims - tasks that are already planned to be preempted for the job
   * @returns the plan, or null if the machine is not expected to have the capacity at any time
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
    // If waiting is never enough (null), preemption does not help either, because it only ends tasks that
    // would also end by themselves. Nor is it needed if enough tasks end within a heartbeat interval.
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

  /**
   * Plans to wait until enough tasks have ended without further preemption. Returns null if that is never
   * expected.
   */
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

  /**
   * Releases tasks that are being stopped or are planned victims. Returns the time at which all of them will
   * have ended.
   */
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
   * Plans to preempt tasks, unless waiting until `fillAtByWaiting` costs less. If the request does not fit by
   * preemption alone, the plan also waits for as few as possible of the tasks that the job must not preempt.
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
