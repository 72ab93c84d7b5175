/** Scale-out: launches machines for tasks that lack capacity. */
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

/** Largest number of retries of a launch request that got no response. */
const MAX_RETRIES = 3;

/** Parts of the leader that scale-out depends on. */
export interface ScaleOutContext {
  workers: Pick<Workers, 'machines' | 'assignedCountByClass' | 'term' | 'isAlive'>;
  placement: Pick<Placement, 'shortages'>;
  cloud: Pick<CloudClient, 'acquireLaunchToken' | 'launch'>;
  booting: BootingMachines;
  /**
   * Whether this node may act as leader: it holds the lease at the state store (invariant 1), and its recovered
   * state includes every cancellation confirmed longer ago than the freshness bound (invariant 8).
   */
  mayActAsLeader(): boolean;
}

/** Launches machines for waiting tasks, and pre-provisions machines for expected tasks. */
export class ScaleOut {
  private readonly backoff: ScaleOutBackoff;
  private readonly headroom: Headroom;
  /** Number of launch requests made in this term, which makes their names unique. */
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

  /** Records that a job with this specification is unfinished, for the headroom of its class. */
  observeJob(spec: JobSpec, now: number): void {
    this.headroom.observeClass(spec, now);
  }

  /** Whether the outcome of any launch request is still open. */
  get hasOpenRequests(): boolean {
    return this.openRequests > 0;
  }

  /** Whether launches of any kind are paused because the cloud has launched fewer machines than requested. */
  capacityRefused(now: number): boolean {
    return this.backoff.anyPaused(now);
  }

  /** Launches machines for waiting tasks and, with `preProvision`, for expected tasks. */
  step(now: number, types: readonly MachineType[], preProvision: boolean): void {
    const demands = this.waitingDemand(now);
    if (preProvision && this.headroom.enabled) demands.push(...this.expectedDemand(now));
    if (demands.length === 0) return;
    const booting = [...this.context.booting.values()];
    const launches = planScaleOut(demands, booting, this.offers(types, now));
    for (const planned of launches) this.launch(planned, now);
  }

  private waitingDemand(now: number): CapacityDemand[] {
    const minWaitMs =
      this.settings.heartbeatIntervalMs * this.settings.get('fleet.rent.wait.ratio');
    const demands: CapacityDemand[] = [];
    for (const { job, tasks } of this.context.placement.shortages)
      if (now - job.waitingSince >= minWaitMs) demands.push({ spec: job.spec, tasks });
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

  /** Returns the kinds of machines that may be launched now, with the number of machines in their zone. */
  private offers(types: readonly MachineType[], now: number): InstanceOffer[] {
    const machinesByZone = this.countMachinesByZone();
    const offers: InstanceOffer[] = [];
    for (const type of types)
      for (const zone of type.zones)
        for (const spot of [true, false]) {
          const kind: MachineKind = { type, zone, spot };
          if (this.backoff.allows(kind, now))
            offers.push({ kind, machinesInZone: machinesByZone.get(zone) ?? 0 });
        }
    return offers;
  }

  private countMachinesByZone(): Map<string, number> {
    const { booting, workers } = this.context;
    const counts = new Map<string, number>();
    const increment = (zone: string): unknown => counts.set(zone, (counts.get(zone) ?? 0) + 1);
    for (const machine of booting.values()) increment(machine.zone);
    for (const machine of workers.machines.values()) increment(machine.zone);
    return counts;
  }

  private launch(planned: PlannedLaunch, now: number): void {
    if (!this.context.cloud.acquireLaunchToken()) return;
    this.launchCount++;
    // The name is unique, since no other leader has this term. Retries and late copies of the request
    // therefore launch no further machines (invariant 2).
    const name = `t${this.context.workers.term}-${this.launchCount}`;
    this.openRequests++;
    this.send({ name, ...planned }, now, MAX_RETRIES);
  }

  private send(request: LaunchRequest, requestedAt: number, retries: number): void {
    this.context.cloud.launch(request, (result) => {
      if (result.kind === 'unconfirmed' && retries > 0 && this.context.mayActAsLeader()) {
        // Safe even if the request was carried out: the cloud carries out only one request per name.
        this.send(request, requestedAt, retries - 1);
        return;
      }
      this.openRequests--;
      this.onResult(request, requestedAt, result);
    });
  }

  private onResult(request: LaunchRequest, requestedAt: number, result: LaunchResult): void {
    const { kind, count } = request;
    const machineIds = result.kind === 'launched' ? result.machineIds : [];
    if (result.kind === 'launched') this.addBooting(request, requestedAt, machineIds);
    if (result.kind === 'launched' && machineIds.length >= count) this.backoff.recordSuccess(kind);
    else this.backoff.recordShortage(kind, this.eventLoop.now(), machineIds.length > 0);
  }

  private addBooting(request: LaunchRequest, requestedAt: number, machineIds: string[]): void {
    const { name, kind, count } = request;
    for (const id of machineIds)
      if (!this.context.workers.machines.has(id))
        this.context.booting.set(id, {
          ...kind,
          requestedAt,
          knownSince: requestedAt,
          listedAsRunning: false,
        });
    this.eventLoop.log.info(
      { launch: name, machineKind: machineKindKey(kind), requested: count, machines: machineIds },
      'machines launched',
    );
  }
}
