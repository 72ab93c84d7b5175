/** Search for the machines that a job fills up, and for the work to stop for it. */
import type { Settings } from '../../settings/settings.js';
import type { Assignment } from '../../model/entities.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';
import {
  LOST_WORK_WEIGHT,
  CapacityPlanner,
  type CapacityPlan,
  type CapacitySearch,
} from '../preemption/capacity-planner.js';
import type { TeamUsage } from '../../workers/team-usage.js';
import { PreemptionPolicy } from '../preemption/preemption-policy.js';
import { addTasks, type TasksByZone } from '../capacity/zones.js';

/** A machine for one task. */
export interface ReservationCandidate extends CapacityPlan {
  capacity: FreeCapacity;
}

/** What machines are searched for. */
export interface ReservationSearch extends CapacitySearch {
  capacities: FreeCapacity[];
  /** Tasks to find room for. */
  count: number;
  /** How many more tasks of the job a zone may take; absent where zones don't matter. */
  zoneAllowance?: (zone: string, there: number) => number;
  /** Decides between machines that are alike otherwise; lower is better. */
  penalty: (capacity: FreeCapacity) => number;
}

/** What a search has found so far. */
interface SearchProgress {
  /** Tasks that are to go to each machine. */
  plannedTasks: Map<FreeCapacity, number>;
  /** Tasks that are to be stopped. */
  plannedVictims: Set<Assignment>;
  zones: TasksByZone;
  /** Machines that the job has reserved already. */
  reserved: Set<string>;
}

/**
 * Finds the machines that a reservation fills up, and the work to stop for it. Machines are weighed by
 * when the task could start there, images included, and by what stopping would lose.
 */
export class ReservationCandidateFinder {
  private readonly policy: PreemptionPolicy;
  private readonly planner: CapacityPlanner;

  constructor(
    private readonly settings: Settings,
    private readonly estimator: DurationEstimator,
    teamUsage: TeamUsage,
  ) {
    this.policy = new PreemptionPolicy(settings, estimator, teamUsage);
    this.planner = new CapacityPlanner(settings, estimator, this.policy);
  }

  /** One machine for each task, best first; fewer where no more can have room at all. */
  find(search: ReservationSearch): ReservationCandidate[] {
    const { capacities } = search;
    const found: ReservationCandidate[] = [];
    const progress: SearchProgress = {
      plannedTasks: new Map(),
      plannedVictims: new Set(),
      zones: new Map(),
      reserved: new Set(search.job.reservation?.machines),
    };
    const costs = new Float64Array(capacities.length);
    for (let i = 0; i < costs.length; i++) costs[i] = this.cost(search, capacities[i], 0, progress);
    while (found.length < search.count) {
      const best = this.cheapest(search, costs, progress.zones);
      const capacity = capacities[best];
      if (capacity === undefined) break;
      const there = progress.plannedTasks.get(capacity) ?? 0;
      const plan = this.planner.plan(search, capacity, there, progress.plannedVictims);
      if (plan === null) break;
      found.push({ ...plan, capacity });
      for (const victim of plan.victims) progress.plannedVictims.add(victim);
      progress.plannedTasks.set(capacity, there + 1);
      addTasks(progress.zones, capacity.machine.zone, 1);
      costs[best] = this.cost(search, capacity, there + 1, progress);
    }
    return found;
  }

  /** What stopping a task costs. */
  lostWorkMs(task: Assignment, now: number): number {
    return this.policy.lostWorkMs(task, now);
  }

  /** Place of the best machine whose zone may take one more task; -1: there is none. */
  private cheapest(search: ReservationSearch, costs: Float64Array, zones: TasksByZone): number {
    let best = -1;
    let bestCost = Infinity;
    for (let i = 0; i < costs.length; i++) {
      const cost = costs[i] ?? Infinity;
      if (cost >= bestCost) continue;
      const zone = search.capacities[i]?.machine.zone ?? '';
      if (
        search.zoneAllowance !== undefined &&
        search.zoneAllowance(zone, zones.get(zone) ?? 0) <= 0
      )
        continue;
      best = i;
      bestCost = cost;
    }
    return best;
  }

  private get stickinessMs(): number {
    return this.settings.heartbeatIntervalMs * this.settings.get('placement.hold.kept.ratio');
  }

  private cost(
    search: ReservationSearch,
    capacity: FreeCapacity | undefined,
    plannedTasks: number,
    { plannedVictims, reserved }: SearchProgress,
  ): number {
    if (capacity === undefined) return Infinity;
    if (search.onlyByPreemption && !this.planner.mayFreeCapacity(search, capacity)) return Infinity;
    const plan = this.planner.plan(search, capacity, plannedTasks, plannedVictims);
    if (plan === null) return Infinity;
    if (search.onlyByPreemption && plan.victims.length === 0 && !plan.hasStopping) return Infinity;
    const { machine } = capacity;
    // Reservations last: a machine already reserved is left only for one clearly better; where work
    // is stopped for it, its save would be in vain.
    const kept = reserved.has(machine.id)
      ? this.stickinessMs + this.planner.forecast(capacity, search.now).longestSaveMs
      : 0;
    const fetch = this.estimator.fetchMs(search.job.spec, machine, search.now);
    return (
      plan.fillAt + fetch - kept + LOST_WORK_WEIGHT * plan.lostWorkMs + search.penalty(capacity)
    );
  }
}
