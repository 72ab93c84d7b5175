/** Search for the machines that a waiting job reserves, and for the work to preempt for it. */
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

/** A machine for one task, and how it gets capacity for it. */
export interface ReservationCandidate extends CapacityPlan {
  capacity: FreeCapacity;
}

/** For what machines are searched. */
export interface ReservationSearch extends CapacitySearch {
  capacities: FreeCapacity[];
  /** Tasks to find a machine for. */
  count: number;
  /** How many more tasks of the job a zone may take; absent where zones don't matter. */
  zoneAllowance?: (zone: string, tasksInZone: number) => number;
  /** Decides between machines that are alike otherwise; lower is better. */
  penalty: (capacity: FreeCapacity) => number;
}

/** What a search has found so far. */
interface SearchProgress {
  /** Tasks that are to go to each machine. */
  plannedTasks: Map<FreeCapacity, number>;
  /** Tasks that are to be preempted. */
  plannedVictims: Set<Assignment>;
  zones: TasksByZone;
  /** Machines that the job has reserved already, by name. */
  reserved: Set<string>;
}

/**
 * Finds the machines to reserve for a job, and the work to preempt for it. Machines are weighed by when
 * the task could start there, its image fetch included, and by the work that would be lost.
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

  /** One machine for each task, best first; fewer where no more can have capacity at all. */
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

  /** Index of the cheapest machine whose zone may take one more task; -1: there is none. */
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

  /** How much later a machine that the job has reserved may be than another, and still be kept. */
  private get stickinessMs(): number {
    return this.settings.heartbeatIntervalMs * this.settings.get('placement.hold.kept.ratio');
  }

  /** When the task could start there, plus what that loses, in milliseconds; `Infinity`: never. */
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
    // Reservations last: a reserved machine is left only for a clearly better one; where work is being
    // preempted for it, its save would be in vain.
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
