/** Selection of the tasks on one machine to preempt for a job. */
import type { Settings } from '../../settings/settings.js';
import type { Assignment } from '../../model/entities.js';
import type { ResourceRequest } from '../../model/resource-request.js';
import type { HypotheticalCapacity } from '../capacity/hypothetical-capacity.js';
import type { ExpectedEnd, MachineForecast } from '../capacity/machine-forecast.js';
import type { CapacityPlan, CapacitySearch } from './capacity-plan.js';
import type { PreemptionPolicy } from './preemption-policy.js';

/** The tasks of a machine that are not being stopped, by whether the job may preempt them. */
export interface TasksByEligibility {
  eligible: ExpectedEnd[];
  /** Earliest end first. */
  others: ExpectedEnd[];
}

/** Selects victims, as few as will do. */
export class VictimSelector {
  constructor(
    private readonly settings: Pick<Settings, 'heartbeatIntervalMs'>,
    private readonly policy: Pick<PreemptionPolicy, 'lostWorkMs' | 'mayPreempt'>,
    /** What the machine under search would have free. */
    private readonly hypothetical: HypotheticalCapacity,
  ) {}

  /** Which of the tasks that go on the job may preempt. */
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
   * A plan by which eligible tasks that have not ended by `freeAt` are preempted, in the order given,
   * until the request fits; `null`: it would not fit without all of them. The hypothetical capacity is
   * afterwards as before.
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
      // Its worker hears of the preemption, and then it saves.
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

  /** Releases the tasks that have ended by themselves by then; returns what they take. */
  private releaseEnded(eligible: readonly ExpectedEnd[], freeAt: number): ResourceRequest[] {
    const released: ResourceRequest[] = [];
    for (const { assignment, endsAt } of eligible) {
      if (endsAt > freeAt) continue;
      this.hypothetical.release(assignment.request);
      released.push(assignment.request);
    }
    return released;
  }

  /** Spares victims that later ones have made needless. */
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
