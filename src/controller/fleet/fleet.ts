/** Which machines there are: rents what waiting work lacks, returns what is of no use. */
import type { Core } from '../core/core.js';
import type { JobTable } from '../jobs/table.js';
import type { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { Machine } from '../workers/machine.js';
import type { Workers } from '../workers/workers.js';
import type { BootingMachines } from './booting-machines.js';
import { CloudClient } from './cloud-client.js';
import { MachineList } from './machine-list.js';
import { MachineReleases } from './machine-releases.js';
import { Renting } from './renting.js';
import { SilentReplicas } from './silent-replicas.js';
import { UnusedMachines } from './unused-machines.js';

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

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    private readonly types: () => MachineType[] | null,
    private readonly table: JobTable,
    workers: Workers,
    placement: Placement,
    private readonly acting: () => boolean,
  ) {
    this.workAt = core.now();
    const cloud = new CloudClient(core, settings);
    const common = { workers, placement, cloud, booting: this.bootingMachines, types, acting };
    this.releases = new MachineReleases(core, settings, common);
    this.list = new MachineList(core, settings, { ...common, releases: this.releases });
    this.unused = new UnusedMachines(core, settings, { ...common, releases: this.releases });
    this.renting = new Renting(core, settings, common);
    this.silentReplicas = new SilentReplicas(core, settings, workers, (machines) =>
      this.releaseSilent(machines),
    );
  }

  /** Called about once a second. */
  step(): void {
    if (!this.acting()) return;
    const now = this.core.now();
    this.list.step(now);
    this.noteWork(now);
    const types = this.types();
    if (types === null) return;
    this.silentReplicas.step(now);
    const noWork = this.noWork(now);
    this.returnUnused(now, noWork);
    if (this.list.complete && !this.renting.busy) this.renting.step(now, types, !noWork);
  }

  private noteWork(now: number): void {
    if (this.table.jobs.size > 0) this.workAt = now;
    for (const job of this.table.jobs.values()) this.renting.seen(job.spec, now);
  }

  /** Nothing at all to do for long: nobody should pay for readiness. */
  private noWork(now: number): boolean {
    const emptyMs = this.settings.workerLeaseMs * this.settings.get('fleet.empty.ratio');
    return now - this.workAt > emptyMs;
  }

  private returnUnused(now: number, noWork: boolean): void {
    const rentalsRefused = this.renting.refused(now);
    const machineIds = this.unused.find(now, { noWork, rentalsRefused });
    if (machineIds.length > 0) this.releases.release(machineIds, 'no use');
  }

  /** Releases machines that fell silent with replicas of services. */
  private releaseSilent(machines: readonly Machine[]): void {
    const ids = machines.map((machine) => machine.id).filter((id) => !this.releases.has(id));
    if (ids.length === 0 || !this.acting()) return;
    this.core.log.info({ machines: ids }, 'silent machines with replicas are returned');
    this.releases.release(ids, 'silent with replicas');
  }

  /** How many machines are on their way, for the operators' view. */
  get booting(): number {
    return this.bootingMachines.size;
  }
}
