/** Scales the machine fleet: launches machines for tasks without capacity and releases unused ones. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Machine } from '../model/entities.js';
import type { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { Workers } from '../workers/workers.js';
import { ArrivalMonitor } from './arrival-monitor.js';
import type { BootingMachines } from './booting-machines.js';
import { CloudClient } from './cloud-client.js';
import { MachineInventory } from './machine-inventory.js';
import { ScaleIn } from './scale-in.js';
import { ScaleOut } from './scale-out.js';
import { UnresponsiveReplicaHosts } from './unresponsive-replica-hosts.js';
import { UnusedMachines, type WorkloadState } from './unused-machines.js';

/**
 * If more than this many leader leases pass between two steps, the time between them counts as an
 * interruption of the service, during which no job could arrive.
 */
const INTERRUPTION_LEASES = 2;
/**
 * Arrivals count as stopped no sooner than this many worker leases after the last arrival, because users retry
 * a failed submission within that time.
 */
const MIN_STOP_DELAY_LEASES = 2;

/** Parts of the leader that the fleet depends on. */
export interface FleetContext {
  table: Pick<JobTable, 'jobs'>;
  workers: Workers;
  placement: Pick<Placement, 'shortages'>;
  /** Returns the machine types, or null until they have been read. */
  types(): MachineType[] | null;
  /**
   * Whether this node may act as leader: it holds the lease at the state store (invariant 1), and its recovered
   * state includes every cancellation confirmed longer ago than the freshness bound (invariant 8).
   */
  mayActAsLeader(): boolean;
}

/** Scales the fleet during one term of this node as leader. */
export class Fleet {
  private readonly bootingMachines: BootingMachines = new Map();
  private readonly scaleIn: ScaleIn;
  private readonly inventory: MachineInventory;
  private readonly unusedMachines: UnusedMachines;
  private readonly scaleOut: ScaleOut;
  private readonly unresponsiveReplicaHosts: UnresponsiveReplicaHosts;
  /** When a step last found an unfinished job; initially the start of the term. */
  private lastWorkAt: number;
  private readonly arrivals: ArrivalMonitor;
  private lastStepAt = -Infinity;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly context: FleetContext,
  ) {
    const { workers } = context;
    this.lastWorkAt = eventLoop.now();
    const decayTimeConstantMs =
      settings.workerLeaseMs * settings.get('placement.reserve.memory.ratio');
    const minStopDelayMs = settings.workerLeaseMs * MIN_STOP_DELAY_LEASES;
    this.arrivals = new ArrivalMonitor(decayTimeConstantMs, minStopDelayMs, eventLoop.now());
    const cloud = new CloudClient(eventLoop, settings);
    const sharedContext = { ...context, cloud, booting: this.bootingMachines };
    this.scaleIn = new ScaleIn(eventLoop, settings, sharedContext);
    this.inventory = new MachineInventory(eventLoop, settings, {
      ...sharedContext,
      scaleIn: this.scaleIn,
    });
    this.unusedMachines = new UnusedMachines(eventLoop, settings, {
      ...sharedContext,
      scaleIn: this.scaleIn,
    });
    this.scaleOut = new ScaleOut(eventLoop, settings, sharedContext);
    this.unresponsiveReplicaHosts = new UnresponsiveReplicaHosts(
      eventLoop,
      settings,
      workers,
      (machines) => this.releaseUnresponsive(machines),
    );
  }

  /** Runs one round of scaling if this node may act as leader; called about once a second. */
  step(): void {
    if (!this.context.mayActAsLeader()) return;
    const now = this.eventLoop.now();
    this.inventory.step(now);
    this.observeJobs(now);
    this.observeArrivals(now);
    const types = this.context.types();
    if (types === null) return;
    this.unresponsiveReplicaHosts.step(now);
    const noWork = this.noWork(now);
    const arrivalsStopped = this.arrivals.haveStopped(now);
    this.releaseUnused(now, { noWork, arrivalsStopped });
    const preProvision = !noWork && !arrivalsStopped;
    if (this.inventory.synced && !this.scaleOut.hasOpenRequests)
      this.scaleOut.step(now, types, preProvision);
  }

  private observeJobs(now: number): void {
    if (this.context.table.jobs.size > 0) this.lastWorkAt = now;
    for (const job of this.context.table.jobs.values()) this.scaleOut.observeJob(job.spec, now);
  }

  private observeArrivals(now: number): void {
    const interruptionMs = this.settings.leaderLeaseMs * INTERRUPTION_LEASES;
    if (now - this.lastStepAt > interruptionMs) this.arrivals.recordInterruption(now);
    this.lastStepAt = now;
    this.arrivals.observe(this.submissionTimes(), now);
  }

  private *submissionTimes(): Generator<number> {
    for (const job of this.context.table.jobs.values()) yield job.submittedAt;
  }

  /** Whether there has been no unfinished job for so long that idle machines only cost money. */
  private noWork(now: number): boolean {
    const noWorkLimitMs = this.settings.workerLeaseMs * this.settings.get('fleet.empty.ratio');
    return now - this.lastWorkAt > noWorkLimitMs;
  }

  private releaseUnused(now: number, workload: Omit<WorkloadState, 'scaleOutRefused'>): void {
    const scaleOutRefused = this.scaleOut.capacityRefused(now);
    const machineIds = this.unusedMachines.find(now, { ...workload, scaleOutRefused });
    if (machineIds.length > 0) this.scaleIn.release(machineIds, 'unused');
  }

  /**
   * Releases unresponsive machines. Once the cloud has confirmed the release, their tasks are gone, and their
   * service replicas can start elsewhere (invariant 5).
   */
  private releaseUnresponsive(machines: readonly Machine[]): void {
    const machineIds = machines
      .map((machine) => machine.id)
      .filter((id) => !this.scaleIn.isReleasing(id));
    if (machineIds.length === 0 || !this.context.mayActAsLeader()) return;
    this.eventLoop.log.info(
      { machines: machineIds },
      'unresponsive machines with replicas selected for release',
    );
    this.scaleIn.release(machineIds, 'unresponsive with replicas');
  }

  /** Number of machines that have been launched and have not sent a heartbeat yet. */
  get bootingCount(): number {
    return this.bootingMachines.size;
  }
}
