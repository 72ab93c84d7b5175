/** Rents machines for work that lacks room. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Placement } from '../placement/placement.js';
import type { MachineKind } from '../placement/capacity/machine-kind.js';
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';
import type { Workers } from '../workers/workers.js';
import type { BootingMachines } from './booting-machines.js';
import type { CloudClient, LaunchRequest, LaunchResult } from './cloud-client.js';
import { Headroom } from './headroom.js';
import { machineKindKey, ScaleOutBackoff } from './scale-out-backoff.js';
import {
  planScaleOut,
  type CapacityDemand,
  type InstanceOffer,
  type PlannedLaunch,
} from './scale-out-plan.js';

/** Repeats of a request to rent that got no response. */
const RETRIES = 3;

/** What renting needs of the other parts of the leader. */
export interface ScaleOutContext {
  workers: Pick<Workers, 'machines' | 'assignedCountByClass' | 'term' | 'isAlive'>;
  placement: Pick<Placement, 'shortages'>;
  cloud: Pick<CloudClient, 'acquireLaunchToken' | 'launch'>;
  booting: BootingMachines;
  /** The leader may act. */
  holdsLease(): boolean;
}

/** Rents what waiting work lacks, and some room ahead of what is to come. */
export class ScaleOut {
  private readonly backoff: ScaleOutBackoff;
  private readonly headroom: Headroom;
  /** Names of this term's rentals are numbered. */
  private launchCount = 0;
  private openRequests = 0;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly context: ScaleOutContext,
  ) {
    this.backoff = new ScaleOutBackoff(settings.get('fleet.backoff.s') * 1000);
    this.headroom = new Headroom({
      ratio: settings.get('fleet.headroom.ratio'),
      retentionMs: settings.workerLeaseMs * settings.get('fleet.idle.ratio'),
    });
  }

  /** A job is unfinished. */
  observeJob(spec: JobSpec, now: number): void {
    this.headroom.observeClass(spec, now);
  }

  /** Some request has not been answered. */
  get hasOpenRequests(): boolean {
    return this.openRequests > 0;
  }

  /** The cloud lacks machines that were asked for. */
  capacityRefused(now: number): boolean {
    return this.backoff.anyPaused(now);
  }

  /** `ahead`: rent for expected work too. */
  step(now: number, types: readonly MachineType[], ahead: boolean): void {
    const demands = this.waitingDemand(now);
    if (ahead && this.headroom.enabled) demands.push(...this.expectedDemand(now));
    if (demands.length === 0) return;
    const booting = [...this.context.booting.values()];
    const orders = planScaleOut(demands, booting, this.offers(types, now));
    for (const order of orders) this.launch(order, now);
  }

  private waitingDemand(now: number): CapacityDemand[] {
    const patienceMs =
      this.settings.heartbeatIntervalMs * this.settings.get('fleet.rent.wait.ratio');
    const demands: CapacityDemand[] = [];
    for (const { job, tasks } of this.context.placement.shortages)
      if (now - job.waitingSince >= patienceMs) demands.push({ spec: job.spec, tasks });
    return demands;
  }

  private expectedDemand(now: number): CapacityDemand[] {
    const { workers } = this.context;
    const machines = [...workers.machines.values()].filter(
      (machine) =>
        machine.type !== null &&
        !machine.releasing &&
        machine.interruptionAt === null &&
        workers.isAlive(machine),
    );
    return this.headroom.demand(now, machines, workers.assignedCountByClass);
  }

  /** What can be rented just now, each with the machines that its zone has already. */
  private offers(types: readonly MachineType[], now: number): InstanceOffer[] {
    const inZone = this.machinesByZone();
    const offers: InstanceOffer[] = [];
    for (const type of types)
      for (const zone of type.zones)
        for (const spot of [true, false]) {
          const kind: MachineKind = { type, zone, spot };
          if (this.backoff.allows(kind, now))
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

  private launch(order: PlannedLaunch, now: number): void {
    if (!this.context.cloud.acquireLaunchToken()) return;
    this.launchCount++;
    // Unique over all time: no other leader has this term.
    const name = `t${this.context.workers.term}-${this.launchCount}`;
    this.openRequests++;
    this.send({ name, ...order }, now, RETRIES);
  }

  private send(request: LaunchRequest, orderedAt: number, retries: number): void {
    this.context.cloud.launch(request, (result) => {
      if (result.kind === 'lost' && retries > 0 && this.context.holdsLease()) {
        // The same name rents nothing twice.
        this.send(request, orderedAt, retries - 1);
        return;
      }
      this.openRequests--;
      this.answered(request, orderedAt, result);
    });
  }

  private answered(request: LaunchRequest, orderedAt: number, result: LaunchResult): void {
    const { kind, count } = request;
    const machineIds = result.kind === 'rented' ? result.machineIds : [];
    if (result.kind === 'rented') this.addBooting(request, orderedAt, machineIds);
    if (result.kind === 'rented' && machineIds.length >= count) this.backoff.recordSuccess(kind);
    else this.backoff.recordShortage(kind, this.eventLoop.now(), machineIds.length > 0);
  }

  private addBooting(request: LaunchRequest, orderedAt: number, machineIds: string[]): void {
    const { name, kind, count } = request;
    for (const id of machineIds)
      if (!this.context.workers.machines.has(id))
        this.context.booting.set(id, {
          ...kind,
          requestedAt: orderedAt,
          knownSince: orderedAt,
          listedAsRunning: false,
        });
    this.eventLoop.log.info(
      { hire: name, offer: machineKindKey(kind), asked: count, machines: machineIds },
      'machines rented',
    );
  }
}
