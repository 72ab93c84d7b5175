/** Which machines there are: rents what waiting work lacks, returns what is of no use. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { JobTable } from '../jobs/table.js';
import type { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { Machine } from '../workers/machine.js';
import type { Workers } from '../workers/workers.js';
import { Arrivals } from './arrivals.js';
import type { BootingMachines } from './booting-machines.js';
import { CloudClient } from './cloud-client.js';
import { MachineList } from './machine-list.js';
import { MachineReleases } from './machine-releases.js';
import { Renting } from './renting.js';
import { SilentReplicas } from './silent-replicas.js';
import { UnusedMachines } from './unused-machines.js';

/** A pause of the steps that is longer than this many leases of the leader hides arrivals. */
const INTERRUPTION_LEASES = 2;
/** Users whose submissions fail try again within this ratio of the workers' lease. */
const LEAST_SILENCE_LEASES = 2;

/** The machines of one leader's term. */
export class Fleet {
  private readonly bootingMachines: BootingMachines = new Map();
  private readonly releases: MachineReleases;
  private readonly list: MachineList;
  private readonly unused: UnusedMachines;
  private readonly renting: Renting;
  private readonly silentReplicas: SilentReplicas;
  /** When there last was any unfinished job. */
  private workAt: number;
  private readonly arrivals: Arrivals;
  private steppedAt = -Infinity;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly types: () => MachineType[] | null,
    private readonly table: JobTable,
    workers: Workers,
    placement: Placement,
    private readonly acting: () => boolean,
  ) {
    this.workAt = eventLoop.now();
    const memoryMs = settings.workerLeaseMs * settings.get('placement.reserve.memory.ratio');
    const leastMs = settings.workerLeaseMs * LEAST_SILENCE_LEASES;
    this.arrivals = new Arrivals(memoryMs, leastMs, eventLoop.now());
    const cloud = new CloudClient(eventLoop, settings);
    const common = { workers, placement, cloud, booting: this.bootingMachines, types, acting };
    this.releases = new MachineReleases(eventLoop, settings, common);
    this.list = new MachineList(eventLoop, settings, { ...common, releases: this.releases });
    this.unused = new UnusedMachines(eventLoop, settings, { ...common, releases: this.releases });
    this.renting = new Renting(eventLoop, settings, common);
    this.silentReplicas = new SilentReplicas(eventLoop, settings, workers, (machines) =>
      this.releaseSilent(machines),
    );
  }

  /** Called about once a second. */
  step(): void {
    if (!this.acting()) return;
    const now = this.eventLoop.now();
    this.list.step(now);
    this.noteWork(now);
    this.noteArrivals(now);
    const types = this.types();
    if (types === null) return;
    this.silentReplicas.step(now);
    const noWork = this.noWork(now);
    this.returnUnused(now, noWork);
    const ahead = !noWork && !this.arrivals.stopped(now);
    if (this.list.complete && !this.renting.busy) this.renting.step(now, types, ahead);
  }

  private noteWork(now: number): void {
    if (this.table.jobs.size > 0) this.workAt = now;
    for (const job of this.table.jobs.values()) this.renting.seen(job.spec, now);
  }

  private noteArrivals(now: number): void {
    const pauseMs = this.settings.leaderLeaseMs * INTERRUPTION_LEASES;
    if (now - this.steppedAt > pauseMs) this.arrivals.interrupted(now);
    this.steppedAt = now;
    this.arrivals.observe(this.submissionTimes(), now);
  }

  private *submissionTimes(): Generator<number> {
    for (const job of this.table.jobs.values()) yield job.submittedAt;
  }

  /** Nothing at all to do for long: nobody should pay for readiness. */
  private noWork(now: number): boolean {
    const emptyMs = this.settings.workerLeaseMs * this.settings.get('fleet.empty.ratio');
    return now - this.workAt > emptyMs;
  }

  private returnUnused(now: number, noWork: boolean): void {
    const rentalsRefused = this.renting.refused(now);
    const arrivalsStopped = this.arrivals.stopped(now);
    const machineIds = this.unused.find(now, { noWork, rentalsRefused, arrivalsStopped });
    if (machineIds.length > 0) this.releases.release(machineIds, 'no use');
  }

  /** Releases machines that fell silent with replicas of services. */
  private releaseSilent(machines: readonly Machine[]): void {
    const ids = machines.map((machine) => machine.id).filter((id) => !this.releases.has(id));
    if (ids.length === 0 || !this.acting()) return;
    this.eventLoop.log.info({ machines: ids }, 'silent machines with replicas are returned');
    this.releases.release(ids, 'silent with replicas');
  }

  /** How many machines are on their way, for the operators' view. */
  get booting(): number {
    return this.bootingMachines.size;
  }
}
