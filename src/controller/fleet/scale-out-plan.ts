/** Which machines to rent for tasks that lack room. Pure: no clock, no I/O. */
import { type MachineKind, isAllowed } from '../placement/capacity/machine-kind.js';
import { resourceRequestOf, countFittingTasks } from '../placement/need.js';
import type { JobSpec } from '../wire/jobs.js';
import type { ResourceRequest } from '../workers/assignment.js';

/** Machines asked for with one order. */
const MAX_MACHINES_PER_ORDER = 50;
/** Orders made at one time. */
const MAX_ORDERS = 4;
/** Price factor of a GPU machine for work without GPUs: it blocks others and can't use them. */
const UNUSED_GPU_PRICE_FACTOR = 3;
/** Weight of a machine that the zone has already: work that asks for spread, and other work. */
const SPREAD_ZONE_WEIGHT = 1;
const ZONE_WEIGHT = 1e-3;

/** Tasks of a job that lack room. */
export interface CapacityDemand {
  spec: JobSpec;
  tasks: number;
}

/** A kind of machine that can be rented, and how many machines its zone has. */
export interface InstanceOffer {
  kind: MachineKind;
  machinesInZone: number;
}

/** Machines of one kind to rent. */
export interface PlannedLaunch {
  kind: MachineKind;
  count: number;
}

/** Free room of a machine that is booting or to be rented. */
interface FreeCapacity extends ResourceRequest {
  kind: MachineKind;
}

function emptyMachine(kind: MachineKind): FreeCapacity {
  const { cpus, gpus, memoryGb } = kind.type;
  return { kind, cpus, gpus, memoryGb };
}

/** Takes room for as many of the tasks as fit; returns how many. */
function takeCapacity(room: FreeCapacity, need: ResourceRequest, tasks: number): number {
  const taken = Math.min(tasks, countFittingTasks(need, room.cpus, room.gpus, room.memoryGb));
  room.cpus -= need.cpus * taken;
  room.gpus -= need.gpus * taken;
  room.memoryGb -= need.memoryGb * taken;
  return taken;
}

/** Price per task, `null` if the offer holds none. Of equal offers the emptiest zone is cheapest. */
function weightedPrice(
  demand: CapacityDemand,
  need: ResourceRequest,
  offer: InstanceOffer,
): number | null {
  const { spec, tasks } = demand;
  const { type, spot } = offer.kind;
  if (!isAllowed(spec, offer.kind)) return null;
  const holds = Math.min(tasks, countFittingTasks(need, type.cpus, type.gpus, type.memoryGb));
  if (holds < 1) return null;
  // A replica on a spot machine is down each time that the machine is taken.
  const atSpotPrice = spot && spec.kind !== 'service';
  const unusedGpus = need.gpus === 0 && type.gpus > 0;
  const price =
    ((atSpotPrice ? type.spotPrice : type.price) / holds) *
    (unusedGpus ? UNUSED_GPU_PRICE_FACTOR : 1);
  // Scattered work needs several machines of a zone.
  const zoneWeight = spec.spread ? SPREAD_ZONE_WEIGHT : ZONE_WEIGHT;
  return price * (1 + offer.machinesInZone * zoneWeight);
}

/** The cheapest offer for the demand's tasks. */
export function cheapestOffer(
  demand: CapacityDemand,
  offers: readonly InstanceOffer[],
): InstanceOffer | null {
  const need = resourceRequestOf(demand.spec);
  let best: InstanceOffer | null = null;
  let bestPrice = Infinity;
  for (const offer of offers) {
    const price = weightedPrice(demand, need, offer);
    if (price === null || price >= bestPrice) continue;
    best = offer;
    bestPrice = price;
  }
  return best;
}

/** Orders of one round of renting, each for machines of one kind. */
class ScaleOutPlan {
  readonly launches: PlannedLaunch[] = [];
  private readonly openLaunches = new Map<MachineKind, PlannedLaunch>();
  private readonly capacities: FreeCapacity[];

  constructor(
    booting: readonly MachineKind[],
    private readonly offers: readonly InstanceOffer[],
  ) {
    this.capacities = booting.map(emptyMachine);
  }

  add(demand: CapacityDemand): void {
    const { spec } = demand;
    const need = resourceRequestOf(spec);
    let tasks = demand.tasks - this.placeOnBooting(demand, need);
    while (tasks > 0) {
      const offer = cheapestOffer({ spec, tasks }, this.offers);
      if (offer === null || !this.addMachine(offer)) return;
      const room = emptyMachine(offer.kind);
      this.capacities.push(room);
      tasks -= takeCapacity(room, need, tasks);
    }
  }

  /** Tasks that fit on what is booting or ordered already. */
  private placeOnBooting({ spec, tasks }: CapacityDemand, need: ResourceRequest): number {
    let placed = 0;
    for (const room of this.capacities) {
      if (placed === tasks) break;
      if (isAllowed(spec, room.kind)) placed += takeCapacity(room, need, tasks - placed);
    }
    return placed;
  }

  /** False if no more orders may be made. */
  private addMachine(offer: InstanceOffer): boolean {
    let order = this.openLaunches.get(offer.kind);
    if (order === undefined || order.count >= MAX_MACHINES_PER_ORDER) {
      if (this.launches.length >= MAX_ORDERS) return false;
      order = { kind: offer.kind, count: 0 };
      this.launches.push(order);
      this.openLaunches.set(offer.kind, order);
    }
    order.count++;
    offer.machinesInZone++;
    return true;
  }
}

/** Orders for the demands, in their order, beyond what the booting machines hold. Counts offers up. */
export function planScaleOut(
  demands: readonly CapacityDemand[],
  booting: readonly MachineKind[],
  offers: readonly InstanceOffer[],
): PlannedLaunch[] {
  const plan = new ScaleOutPlan(booting, offers);
  for (const demand of demands) plan.add(demand);
  return plan.launches;
}
