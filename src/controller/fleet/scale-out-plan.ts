/** Decides which machines to launch for tasks without capacity. Pure functions: no clock, no I/O. */
import { type MachineKind, isAllowed } from '../placement/capacity/machine-kind.js';
import {
  resourceRequestOf,
  countFittingTasks,
  type ResourceRequest,
} from '../model/resource-request.js';
import type { JobSpec } from '../wire/jobs.js';

/** Largest number of machines in one launch request. */
const MAX_MACHINES_PER_LAUNCH = 50;
/** Largest number of launch requests in one plan. */
const MAX_LAUNCHES = 4;
/**
 * Factor on the price of a GPU machine for tasks without GPUs, because they would block its GPUs for other
 * tasks.
 */
const UNUSED_GPU_PRICE_FACTOR = 3;
/** Relative price increase per machine already in the zone, for jobs that ask to be spread over zones. */
const SPREAD_ZONE_WEIGHT = 1;
/**
 * Relative price increase per machine already in the zone, for other jobs. It is small, since it should decide
 * only between equal prices.
 */
const ZONE_WEIGHT = 1e-3;

/** Tasks of one job that need capacity. */
export interface CapacityDemand {
  spec: JobSpec;
  tasks: number;
}

/** A kind of machine that can be launched, and the number of machines in its zone, including booting ones. */
export interface InstanceOffer {
  kind: MachineKind;
  machinesInZone: number;
}

/** Machines of one kind to launch with one request. */
export interface PlannedLaunch {
  kind: MachineKind;
  count: number;
}

/** Free capacity of a machine that is booting or about to be launched. */
interface FreeCapacity extends ResourceRequest {
  kind: MachineKind;
}

function emptyMachine(kind: MachineKind): FreeCapacity {
  const { cpus, gpus, memoryGb } = kind.type;
  return { kind, cpus, gpus, memoryGb };
}

/** Takes capacity for as many of the tasks as fit, and returns their number. */
function takeCapacity(free: FreeCapacity, request: ResourceRequest, tasks: number): number {
  const takenTasks = Math.min(
    tasks,
    countFittingTasks(request, free.cpus, free.gpus, free.memoryGb),
  );
  free.cpus -= request.cpus * takenTasks;
  free.gpus -= request.gpus * takenTasks;
  free.memoryGb -= request.memoryGb * takenTasks;
  return takenTasks;
}

/**
 * Returns the weighted price of the offer per task, or null if no task fits. Among offers at the same price,
 * the one in the zone with the fewest machines has the lowest weighted price.
 */
function weightedPrice(
  demand: CapacityDemand,
  request: ResourceRequest,
  offer: InstanceOffer,
): number | null {
  const { spec, tasks } = demand;
  const { type, spot } = offer.kind;
  if (!isAllowed(spec, offer.kind)) return null;
  const fittingTasks = Math.min(
    tasks,
    countFittingTasks(request, type.cpus, type.gpus, type.memoryGb),
  );
  if (fittingTasks < 1) return null;
  // An interrupted spot machine makes a service replica unavailable, so spot machines are not considered
  // cheaper for services.
  const atSpotPrice = spot && spec.kind !== 'service';
  const unusedGpus = request.gpus === 0 && type.gpus > 0;
  const price =
    ((atSpotPrice ? type.spotPrice : type.price) / fittingTasks) *
    (unusedGpus ? UNUSED_GPU_PRICE_FACTOR : 1);
  const zoneWeight = spec.spread ? SPREAD_ZONE_WEIGHT : ZONE_WEIGHT;
  return price * (1 + offer.machinesInZone * zoneWeight);
}

/** Returns the cheapest offer on which a task of the demand fits, or null if there is none. */
export function cheapestOffer(
  demand: CapacityDemand,
  offers: readonly InstanceOffer[],
): InstanceOffer | null {
  const request = resourceRequestOf(demand.spec);
  let cheapest: InstanceOffer | null = null;
  let lowestPrice = Infinity;
  for (const offer of offers) {
    const price = weightedPrice(demand, request, offer);
    if (price === null || price >= lowestPrice) continue;
    cheapest = offer;
    lowestPrice = price;
  }
  return cheapest;
}

/** Builds the list of launches for a sequence of demands. */
class ScaleOutPlan {
  readonly launches: PlannedLaunch[] = [];
  /** The latest launch of each kind. Machines are added to it until it has `MAX_MACHINES_PER_LAUNCH`. */
  private readonly openLaunches = new Map<MachineKind, PlannedLaunch>();
  /** Free capacity of the booting machines and of the machines planned so far. */
  private readonly machines: FreeCapacity[];

  constructor(
    booting: readonly MachineKind[],
    private readonly offers: readonly InstanceOffer[],
  ) {
    this.machines = booting.map(emptyMachine);
  }

  /** Plans machines for the tasks that do not fit on the booting and the planned machines. */
  add(demand: CapacityDemand): void {
    const { spec } = demand;
    const request = resourceRequestOf(spec);
    let remainingTasks = demand.tasks - this.takeExistingCapacity(demand, request);
    while (remainingTasks > 0) {
      const offer = cheapestOffer({ spec, tasks: remainingTasks }, this.offers);
      if (offer === null || !this.addMachine(offer)) return;
      const machine = emptyMachine(offer.kind);
      this.machines.push(machine);
      remainingTasks -= takeCapacity(machine, request, remainingTasks);
    }
  }

  /** Takes capacity of the booting and the planned machines for the tasks, and returns how many of them fit. */
  private takeExistingCapacity({ spec, tasks }: CapacityDemand, request: ResourceRequest): number {
    let takenTasks = 0;
    for (const machine of this.machines) {
      if (takenTasks === tasks) break;
      if (isAllowed(spec, machine.kind))
        takenTasks += takeCapacity(machine, request, tasks - takenTasks);
    }
    return takenTasks;
  }

  /** Adds one machine of the offer's kind. Returns false if the plan would then exceed `MAX_LAUNCHES`. */
  private addMachine(offer: InstanceOffer): boolean {
    let launch = this.openLaunches.get(offer.kind);
    if (launch === undefined || launch.count >= MAX_MACHINES_PER_LAUNCH) {
      if (this.launches.length >= MAX_LAUNCHES) return false;
      launch = { kind: offer.kind, count: 0 };
      this.launches.push(launch);
      this.openLaunches.set(offer.kind, launch);
    }
    launch.count++;
    offer.machinesInZone++;
    return true;
  }
}

/**
 * Plans launches for the tasks that do not fit on the booting machines, in the order of the demands. For each
 * planned machine, increments `machinesInZone` of the offer that was chosen.
 */
export function planScaleOut(
  demands: readonly CapacityDemand[],
  booting: readonly MachineKind[],
  offers: readonly InstanceOffer[],
): PlannedLaunch[] {
  const plan = new ScaleOutPlan(booting, offers);
  for (const demand of demands) plan.add(demand);
  return plan.launches;
}
