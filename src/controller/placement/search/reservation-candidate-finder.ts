/** Search for machines for a waiting job to reserve, and for tasks to preempt for it. */
import type { Settings } from '../../settings/settings.js';
import type { Assignment } from '../../model/entities.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';
import {
  LOST_WORK_WEIGHT,
  type CapacityPlan,
  type CapacitySearch,
} from '../preemption/capacity-plan.js';
import { CapacityPlanner } from '../preemption/capacity-planner.js';
import { MachineForecaster } from '../preemption/machine-forecaster.js';
import type { PreemptionPolicy } from '../preemption/preemption-policy.js';
import { addTasks, type TasksByZone } from '../capacity/zones.js';

/** A machine for one task, with the plan by which it gets capacity. */
export interface ReservationCandidate extends CapacityPlan {
  capacity: FreeCapacity;
}

/** A search for machines that a job may reserve. */
export interface ReservationSearch extends CapacitySearch {
  /** The machines to search. */
  capacities: FreeCapacity[];
  /** Number of tasks to find a machine for. */
  count: number;
  /** Returns how many more tasks of the job a zone may take; absent if zones are not limited. */
  zoneAllowance?: (zone: string, tasksInZone: number) => number;
  /** Returns a machine's penalty, which decides between machines of about equal cost; lower is better. */
  penalty: (capacity: FreeCapacity) => number;
}

/** Intermediate results of a search. */
interface SearchProgress {
  /** Number of tasks planned for each machine. */
  plannedTasks: Map<FreeCapacity, number>;
  /** Tasks to be preempted. */
  plannedVictims: Set<Assignment>;
  /** Number of tasks planned for each zone. */
  zones: TasksByZone;
  /** Ids of the machines that the job has already reserved. */
  reserved: Set<string>;
}

/**
 * Finds machines to reserve for a job, and tasks to preempt for it. The cost of a machine is the time at
 * which the task could run on it, including its image fetch, plus the weighted loss of preempted work and the
 * machine's penalty. The cost is lower for a machine that the job has already reserved.
 */
export class ReservationCandidateFinder {
  private readonly forecaster: MachineForecaster;
  private readonly planner: CapacityPlanner;

  constructor(
    private readonly settings: Pick<Settings, 'get' | 'heartbeatIntervalMs'>,
    private readonly estimator: DurationEstimator,
    policy: PreemptionPolicy,
  ) {
    this.forecaster = new MachineForecaster(estimator, policy);
    this.planner = new CapacityPlanner(settings, this.forecaster, policy);
  }

  /** Returns one machine per task, best first; fewer if no other machine is expected to get capacity. */
  find(search: ReservationSearch): ReservationCandidate[] {
    const { capacities } = search;
    const candidates: ReservationCandidate[] = [];
    const progress: SearchProgress = {
      plannedTasks: new Map(),
      plannedVictims: new Set(),
      zones: new Map(),
      reserved: new Set(search.job.reservation?.machines),
    };
    const costs = new Float64Array(capacities.length);
    for (let i = 0; i < costs.length; i++) costs[i] = this.cost(search, capacities[i], 0, progress);
    while (candidates.length < search.count) {
      const bestIndex = this.cheapestIndex(search, costs, progress.zones);
      const capacity = capacities[bestIndex];
      if (capacity === undefined) break;
      const plannedTasks = progress.plannedTasks.get(capacity) ?? 0;
      const plan = this.planner.plan(search, capacity, plannedTasks, progress.plannedVictims);
      if (plan === null) break;
      candidates.push({ ...plan, capacity });
      for (const victim of plan.victims) progress.plannedVictims.add(victim);
      progress.plannedTasks.set(capacity, plannedTasks + 1);
      addTasks(progress.zones, capacity.machine.zone, 1);
      costs[bestIndex] = this.cost(search, capacity, plannedTasks + 1, progress);
    }
    return candidates;
  }

  /** Returns the index of the cheapest machine whose zone may take one more task, or -1 if there is none. */
  private cheapestIndex(
    search: ReservationSearch,
    costs: Float64Array,
    zones: TasksByZone,
  ): number {
    let bestIndex = -1;
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
      bestIndex = i;
      bestCost = cost;
    }
    return bestIndex;
  }

  /**
   * The cost of a reserved machine is lowered by this many ms plus the longest checkpoint save of its tasks,
   * so that only a clearly better machine replaces it.
   */
  private get stickinessMs(): number {
    return this.settings.heartbeatIntervalMs * this.settings.get('placement.hold.kept.ratio');
  }

  /** Returns the cost in ms of a machine for one more task; `Infinity` if it cannot be used. */
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
    // A reserved machine is replaced only by a clearly better one. The longest save is added because tasks on
    // the machine may already be saving checkpoints to make way for this job. Those tasks would have been
    // stopped in vain if the job reserved another machine instead.
    const reservedBonusMs = reserved.has(machine.id)
      ? this.stickinessMs + this.forecaster.forecast(capacity, search.now).longestSaveMs
      : 0;
    const fetchMs = this.estimator.fetchMs(search.job.spec, machine, search.now);
    return (
      plan.fillAt +
      fetchMs -
      reservedBonusMs +
      LOST_WORK_WEIGHT * plan.lostWorkMs +
      search.penalty(capacity)
    );
  }
}
