/** Which machines there are: rents what waiting work lacks, returns what is of no use. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { Machine } from '../workers/machine.js';
import type { Workers } from '../workers/workers.js';
import { ArrivalMonitor } from './arrival-monitor.js';
import type { BootingMachines } from './booting-machines.js';
import { CloudClient } from './cloud-client.js';
import { MachineInventory } from './machine-inventory.js';
import { ScaleIn } from './scale-in.js';
import { ScaleOut } from './scale-out.js';
import { UnresponsiveReplicaHosts } from './unresponsive-replica-hosts.js';
import { UnusedMachines } from './unused-machines.js';

/** A pause of the steps that is longer than this many leases of the leader hides arrivals. */
const INTERRUPTION_LEASES = 2;
/** Users whose submissions fail try again within this ratio of the workers' lease. */
const LEAST_SILENCE_LEASES = 2;

/** The machines of one leader's term. */
export class Fleet {
  private readonly bootingMachines: BootingMachines = new Map();
  private readonly scaleIn: ScaleIn;
  private readonly inventory: MachineInventory;
  private readonly unused: UnusedMachines;
  private readonly scaleOut: ScaleOut;
  private readonly unresponsiveReplicaHosts: UnresponsiveReplicaHosts;
  /** When there last was any unfinished job. */
  private lastWorkAt: number;
  private readonly arrivals: ArrivalMonitor;
  private steppedAt = -Infinity;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly types: () => MachineType[] | null,
    private readonly table: JobTable,
    workers: Workers,
    placement: Placement,
    private readonly holdsLease: () => boolean,
  ) {
    this.lastWorkAt = eventLoop.now();
    const memoryMs = settings.workerLeaseMs * settings.get('placement.reserve.memory.ratio');
    const leastMs = settings.workerLeaseMs * LEAST_SILENCE_LEASES;
    this.arrivals = new ArrivalMonitor(memoryMs, leastMs, eventLoop.now());
    const cloud = new CloudClient(eventLoop, settings);
    const common = { workers, placement, cloud, booting: this.bootingMachines, types, holdsLease };
    this.scaleIn = new ScaleIn(eventLoop, settings, common);
    this.inventory = new MachineInventory(eventLoop, settings, {
      ...common,
      scaleIn: this.scaleIn,
    });
    this.unused = new UnusedMachines(eventLoop, settings, { ...common, scaleIn: this.scaleIn });
    this.scaleOut = new ScaleOut(eventLoop, settings, common);
    this.unresponsiveReplicaHosts = new UnresponsiveReplicaHosts(
      eventLoop,
      settings,
      workers,
      (machines) => this.releaseUnresponsive(machines),
    );
  }

  /** Called about once a second. */
  step(): void {
    if (!this.holdsLease()) return;
    const now = this.eventLoop.now();
    this.inventory.step(now);
    this.noteWork(now);
    this.noteArrivals(now);
    const types = this.types();
    if (types === null) return;
    this.unresponsiveReplicaHosts.step(now);
    const noWork = this.noWork(now);
    this.returnUnused(now, noWork);
    const ahead = !noWork && !this.arrivals.haveStopped(now);
    if (this.inventory.synced && !this.scaleOut.hasOpenRequests)
      this.scaleOut.step(now, types, ahead);
  }

  private noteWork(now: number): void {
    if (this.table.jobs.size > 0) this.lastWorkAt = now;
    for (const job of this.table.jobs.values()) this.scaleOut.observeJob(job.spec, now);
  }

  private noteArrivals(now: number): void {
    const pauseMs = this.settings.leaderLeaseMs * INTERRUPTION_LEASES;
    if (now - this.steppedAt > pauseMs) this.arrivals.noteInterruption(now);
    this.steppedAt = now;
    this.arrivals.observe(this.submissionTimes(), now);
  }

  private *submissionTimes(): Generator<number> {
    for (const job of this.table.jobs.values()) yield job.submittedAt;
  }

  /** Nothing at all to do for long: nobody should pay for readiness. */
  private noWork(now: number): boolean {
    const emptyMs = this.settings.workerLeaseMs * this.settings.get('fleet.empty.ratio');
    return now - this.lastWorkAt > emptyMs;
  }

  private returnUnused(now: number, noWork: boolean): void {
    const rentalsRefused = this.scaleOut.capacityRefused(now);
    const arrivalsStopped = this.arrivals.haveStopped(now);
    const machineIds = this.unused.find(now, {
      noWork,
      scaleOutRefused: rentalsRefused,
      arrivalsStopped,
    });
    if (machineIds.length > 0) this.scaleIn.release(machineIds, 'no use');
  }

  /** Releases machines that fell silent with replicas of services. */
  private releaseUnresponsive(machines: readonly Machine[]): void {
    const ids = machines.map((machine) => machine.id).filter((id) => !this.scaleIn.isReleasing(id));
    if (ids.length === 0 || !this.holdsLease()) return;
    this.eventLoop.log.info({ machines: ids }, 'silent machines with replicas are returned');
    this.scaleIn.release(ids, 'silent with replicas');
  }

  /** How many machines are on their way, for the operators' view. */
  get bootingCount(): number {
    return this.bootingMachines.size;
  }
}
