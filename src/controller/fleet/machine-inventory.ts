/** The cloud's list of machines, read now and then and compared with those known. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { ListedMachine, MachineType } from '../wire/cloud.js';
import type { Machine } from '../workers/machine.js';
import type { Workers } from '../workers/workers.js';
import type { BootingMachines } from './booting-machines.js';
import type { CloudClient } from './cloud-client.js';
import type { ScaleIn } from './scale-in.js';

/** Reports between two lists, at least. */
const REPORTS_PER_LIST = 2;
/** After a failure the list is read again when this share of its lag has not yet passed. */
const RETRY_LAG_SHARE = 0.7;
/** A machine that lists don't show is absent after so many times their lag, or their interval. */
const ABSENT_LAGS = 4;

/** What the list needs of the other parts of the leader. */
export interface MachineInventoryContext {
  workers: Pick<Workers, 'machines' | 'setDescription'>;
  cloud: Pick<CloudClient, 'listIntervalMs' | 'listMachines'>;
  scaleIn: Pick<ScaleIn, 'isReleasing' | 'release'>;
  booting: BootingMachines;
  types(): MachineType[] | null;
  /** The leader may act. */
  holdsLease(): boolean;
}

/** Keeps what is known of machines in step with the cloud's list. */
export class MachineInventory {
  /** A list has been read in this term. */
  synced = false;
  private reading = false;
  private readAt = -Infinity;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly context: MachineInventoryContext,
  ) {}

  private get lagMs(): number {
    return this.settings.platform.cloudLimits.listLagS * 1000;
  }

  /** Reads the list if it is due. */
  step(now: number): void {
    if (!this.reading && now - this.readAt >= this.intervalMs) this.read();
  }

  private get intervalMs(): number {
    const { cloud, workers } = this.context;
    return Math.max(
      this.lagMs,
      this.settings.heartbeatIntervalMs * REPORTS_PER_LIST,
      cloud.listIntervalMs(workers.machines.size),
    );
  }

  private read(): void {
    this.reading = true;
    this.context.cloud.listMachines((machines) => {
      this.reading = false;
      if (machines === null) {
        this.readAt = this.eventLoop.now() - RETRY_LAG_SHARE * this.lagMs;
        return;
      }
      this.readAt = this.eventLoop.now();
      if (this.context.holdsLease()) this.apply(machines);
    });
  }

  private apply(listed: readonly ListedMachine[]): void {
    this.synced = true;
    const now = this.eventLoop.now();
    const ids = new Set<string>();
    for (const entry of listed) {
      ids.add(entry.id);
      if (!this.context.scaleIn.isReleasing(entry.id)) this.applyEntry(entry, now);
    }
    this.markAbsent(ids, now);
  }

  private applyEntry(entry: ListedMachine, now: number): void {
    const { workers, scaleIn } = this.context;
    const known = workers.machines.get(entry.id);
    if (known !== undefined) this.update(known, entry, now);
    else if (entry.state === 'failed') scaleIn.release([entry.id], 'failed');
    else this.noteBooting(entry, now);
  }

  private update(machine: Machine, entry: ListedMachine, now: number): void {
    machine.cloudState = entry.state;
    machine.cloudStateAt = now;
    if (machine.addr === '') machine.addr = entry.addr;
    if (machine.typeName === '' || machine.type === null)
      this.context.workers.setDescription(machine, entry.type, entry.zone, entry.spot, entry.addr);
  }

  private noteBooting(
    { id, type: name, zone, spot, ageS, state }: ListedMachine,
    now: number,
  ): void {
    const { booting } = this.context;
    const running = state === 'running';
    const known = booting.get(id);
    if (known !== undefined) {
      known.listedAsRunning ||= running;
      return;
    }
    const type = this.context.types()?.find((offered) => offered.name === name);
    if (type === undefined) return;
    booting.set(id, {
      type,
      zone,
      spot,
      listedAsRunning: running,
      requestedAt: now - ageS * 1000,
      knownSince: now,
    });
  }

  /** Once listed a machine stays listed until it is gone; but a list may be older than the last. */
  private markAbsent(listedIds: ReadonlySet<string>, now: number): void {
    const shownMs = Math.max(this.lagMs, this.context.cloud.listIntervalMs(listedIds.size));
    const absentMs = shownMs * ABSENT_LAGS + this.settings.heartbeatIntervalMs;
    for (const machine of this.context.workers.machines.values()) {
      if (listedIds.has(machine.id) || machine.cloudStateAt === -Infinity) continue;
      if (now - machine.cloudStateAt > absentMs) machine.cloudState = 'absent';
    }
  }
}
