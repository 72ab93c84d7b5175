/** Rents machines for work that lacks room. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Placement } from '../placement/placement.js';
import type { MachineKind } from '../placement/machine-kind.js';
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';
import type { Workers } from '../workers/workers.js';
import type { BootingMachines } from './booting-machines.js';
import type { CloudClient, RentalRequest, RentalResult } from './cloud-client.js';
import { Headroom } from './headroom.js';
import { kindKey, RentalBackoff } from './rental-backoff.js';
import { planRentals, type Demand, type Offer, type RentalOrder } from './rental-plan.js';

/** Repeats of a request to rent that got no response. */
const RETRIES = 3;

/** What renting needs of the other parts of the leader. */
export interface RentingContext {
  workers: Pick<Workers, 'machines' | 'running' | 'term' | 'alive'>;
  placement: Pick<Placement, 'lacking'>;
  cloud: Pick<CloudClient, 'mayRent' | 'rent'>;
  booting: BootingMachines;
  /** The leader may act. */
  acting(): boolean;
}

/** Rents what waiting work lacks, and some room ahead of what is to come. */
export class Renting {
  private readonly backoff: RentalBackoff;
  private readonly headroom: Headroom;
  /** Names of this term's rentals are numbered. */
  private rentals = 0;
  private openRequests = 0;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly context: RentingContext,
  ) {
    this.backoff = new RentalBackoff(settings.get('fleet.backoff.s') * 1000);
    this.headroom = new Headroom({
      ratio: settings.get('fleet.headroom.ratio'),
      memoryMs: settings.workerLeaseMs * settings.get('fleet.idle.ratio'),
    });
  }

  /** A job is unfinished. */
  seen(spec: JobSpec, now: number): void {
    this.headroom.seen(spec, now);
  }

  /** Some request has not been answered. */
  get busy(): boolean {
    return this.openRequests > 0;
  }

  /** The cloud lacks machines that were asked for. */
  refused(now: number): boolean {
    return this.backoff.anyRefused(now);
  }

  /** `ahead`: rent for expected work too. */
  step(now: number, types: readonly MachineType[], ahead: boolean): void {
    const demands = this.waitingDemand(now);
    if (ahead && this.headroom.wanted) demands.push(...this.expectedDemand(now));
    if (demands.length === 0) return;
    const booting = [...this.context.booting.values()];
    const orders = planRentals(demands, booting, this.offers(types, now));
    for (const order of orders) this.rent(order, now);
  }

  private waitingDemand(now: number): Demand[] {
    const patienceMs = this.settings.reportMs * this.settings.get('fleet.rent.wait.ratio');
    const demands: Demand[] = [];
    for (const { job, tasks } of this.context.placement.lacking)
      if (now - job.waitingSince >= patienceMs) demands.push({ spec: job.spec, tasks });
    return demands;
  }

  private expectedDemand(now: number): Demand[] {
    const { workers } = this.context;
    const machines = [...workers.machines.values()].filter(
      (machine) =>
        machine.type !== null &&
        !machine.leaving &&
        machine.noticeAt === null &&
        workers.alive(machine),
    );
    return this.headroom.demand(now, machines, workers.running);
  }

  /** What can be rented just now, each with the machines that its zone has already. */
  private offers(types: readonly MachineType[], now: number): Offer[] {
    const inZone = this.machinesByZone();
    const offers: Offer[] = [];
    for (const type of types)
      for (const zone of type.zones)
        for (const spot of [true, false]) {
          const kind: MachineKind = { type, zone, spot };
          if (this.backoff.mayRent(kind, now))
            offers.push({ kind, machinesInZone: inZone.get(zone) ?? 0 });
        }
    return offers;
  }

  private machinesByZone(): Map<string, number> {
    const { booting, workers } = this.context;
    const inZone = new Map<string, number>();
    const count = (zone: string): unknown => inZone.set(zone, (inZone.get(zone) ?? 0) + 1);
    for (const machine of booting.values()) count(machine.zone);
    for (const machine of workers.machines.values()) count(machine.zone);
    return inZone;
  }

  private rent(order: RentalOrder, now: number): void {
    if (!this.context.cloud.mayRent()) return;
    this.rentals++;
    // Unique over all time: no other leader has this term.
    const name = `t${this.context.workers.term}-${this.rentals}`;
    this.openRequests++;
    this.send({ name, ...order }, now, RETRIES);
  }

  private send(request: RentalRequest, orderedAt: number, retries: number): void {
    this.context.cloud.rent(request, (result) => {
      if (result.kind === 'lost' && retries > 0 && this.context.acting()) {
        // The same name rents nothing twice.
        this.send(request, orderedAt, retries - 1);
        return;
      }
      this.openRequests--;
      this.answered(request, orderedAt, result);
    });
  }

  private answered(request: RentalRequest, orderedAt: number, result: RentalResult): void {
    const { kind, count } = request;
    const machineIds = result.kind === 'rented' ? result.machineIds : [];
    if (result.kind === 'rented') this.addBooting(request, orderedAt, machineIds);
    if (result.kind === 'rented' && machineIds.length >= count) this.backoff.succeeded(kind);
    else this.backoff.refused(kind, this.eventLoop.now(), machineIds.length > 0);
  }

  private addBooting(request: RentalRequest, orderedAt: number, machineIds: string[]): void {
    const { name, kind, count } = request;
    for (const id of machineIds)
      if (!this.context.workers.machines.has(id))
        this.context.booting.set(id, {
          ...kind,
          since: orderedAt,
          knownSince: orderedAt,
          running: false,
        });
    this.eventLoop.log.info(
      { hire: name, offer: kindKey(kind), asked: count, machines: machineIds },
      'machines rented',
    );
  }
}
