/** Selection of tasks to preempt on one machine for a job. */
import type { Settings } from '../../settings/settings.js';
import type { Assignment } from '../../model/entities.js';
import type { ResourceRequest } from '../../model/resource-request.js';
import type { HypotheticalCapacity } from '../capacity/hypothetical-capacity.js';
import type { ExpectedEnd, MachineForecast } from '../capacity/machine-forecast.js';
import type { CapacityPlan, CapacitySearch } from './capacity-plan.js';
import type { PreemptionPolicy } from './preemption-policy.js';

/** The tasks of a machine that keep running, divided by whether the job may preempt them. */
export interface TasksByEligibility {
  /** Tasks that the job may preempt. */
  eligible: ExpectedEnd[];
  /** Tasks that the job must not preempt, in order of their expected ends. */
  others: ExpectedEnd[];
}

/** Selects victims, and drops those that turn out not to be needed. */
export class VictimSelector {
  constructor(
    private readonly settings: Pick<Settings, 'heartbeatIntervalMs'>,
    private readonly policy: Pick<PreemptionPolicy, 'lostWorkMs' | 'mayPreempt'>,
    /** Free capacity that the machine would have without some of its tasks; the caller sets it up. */
    private readonly hypothetical: HypotheticalCapacity,
  ) {}

  /** Divides the tasks that are neither being stopped nor planned victims by whether the job may preempt them. */
  split(
    { now, job }: CapacitySearch,
    forecast: MachineForecast,
    plannedVictims: Set<Assignment>,
  ): TasksByEligibility {
    const eligible: ExpectedEnd[] = [];
    const others: ExpectedEnd[] = [];
    for (const expectedEnd of forecast.expectedEnds) {
      const { assignment } = expectedEnd;
      if (assignment.stop !== null || plannedVictims.has(assignment)) continue;
      (this.policy.mayPreempt(job, now, assignment) ? eligible : others).push(expectedEnd);
    }
    return { eligible, others };
  }

  /**
   * Plans to preempt eligible tasks in the given order until the request fits. Tasks expected to end by
   * `freeAt` count as free and are not preempted. Returns null if the request would not fit even without
   * all eligible tasks. The hypothetical capacity is restored before returning.
   */
  select(
    request: ResourceRequest,
    eligible: readonly ExpectedEnd[],
    freeAt: number,
    now: number,
  ): CapacityPlan | null {
    const { hypothetical } = this;
    const released = this.releaseEnded(eligible, freeAt);
    const stopDeliveredAt = now + this.settings.heartbeatIntervalMs;
    let fillAt = freeAt;
    const victims: Assignment[] = [];
    for (const { assignment, endsAt } of eligible) {
      if (hypothetical.fits(request)) break;
      if (endsAt <= freeAt) continue;
      victims.push(assignment);
      hypothetical.release(assignment.request);
      released.push(assignment.request);
      // The worker gets the stop command within a heartbeat interval; then the task saves a checkpoint.
      fillAt = Math.max(fillAt, stopDeliveredAt + assignment.checkpointSaveS * 1000);
    }
    const fits = hypothetical.fits(request);
    if (fits) this.spareUnneededVictims(request, victims, released);
    for (const amount of released) hypothetical.allocate(amount);
    if (!fits) return null;
    const lostWorkMs = victims.reduce(
      (sum, victim) => sum + this.policy.lostWorkMs(victim, now),
      0,
    );
    return { fillAt, victims, lostWorkMs, hasStopping: false };
  }

  /** Releases the tasks expected to end by `freeAt`; returns their requests. */
  private releaseEnded(eligible: readonly ExpectedEnd[], freeAt: number): ResourceRequest[] {
    const released: ResourceRequest[] = [];
    for (const { assignment, endsAt } of eligible) {
      if (endsAt > freeAt) continue;
      this.hypothetical.release(assignment.request);
      released.push(assignment.request);
    }
    return released;
  }

  /** Removes victims that are not needed because of victims selected after them. */
  private spareUnneededVictims(
    request: ResourceRequest,
    victims: Assignment[],
    released: ResourceRequest[],
  ): void {
    const { hypothetical } = this;
    for (const victim of [...victims]) {
      hypothetical.allocate(victim.request);
      if (hypothetical.fits(request)) {
        victims.splice(victims.indexOf(victim), 1);
        released.splice(released.indexOf(victim.request), 1);
      } else hypothetical.release(victim.request);
    }
  }
}
