/** Machine inventory: periodically reads the cloud's list of machines and updates the known ones from it. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { ListedMachine, MachineType } from '../wire/cloud.js';
import type { Machine } from '../model/entities.js';
import type { Workers } from '../workers/workers.js';
import type { BootingMachines } from './booting-machines.js';
import type { CloudClient } from './cloud-client.js';
import type { ScaleIn } from './scale-in.js';

/** Smallest number of heartbeat intervals between two reads of the list. */
const HEARTBEATS_PER_LIST = 2;
/** After a failed read, the next read is due earlier by this fraction of the list's lag. */
const RETRY_LAG_SHARE = 0.7;
/**
 * A machine that is missing from the list counts as absent after this many times the staleness of the list,
 * plus a heartbeat interval. The staleness is the lag of the list, or the shortest interval between reads that
 * the rate limit allows, whichever is longer.
 */
const ABSENT_LAGS = 4;

/** Parts of the leader that the inventory depends on. */
export interface MachineInventoryContext {
  workers: Pick<Workers, 'machines' | 'setDescription'>;
  cloud: Pick<CloudClient, 'listIntervalMs' | 'listMachines'>;
  scaleIn: Pick<ScaleIn, 'isReleasing' | 'release'>;
  booting: BootingMachines;
  /** Returns the machine types, or null until they have been read. */
  types(): MachineType[] | null;
  /**
   * Whether this node may act as leader: it holds the lease at the state store (invariant 1), and its recovered
   * state includes every cancellation confirmed longer ago than the freshness bound (invariant 8).
   */
  mayActAsLeader(): boolean;
}

/** Reconciles the known and the booting machines with the cloud's list. */
export class MachineInventory {
  /** Whether a list has been read and applied in this term. */
  synced = false;
  private readInProgress = false;
  /**
   * When the last read ended. If that read failed, `RETRY_LAG_SHARE` of the list's lag is subtracted, so that
   * the next read is due earlier.
   */
  private lastReadAt = -Infinity;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly context: MachineInventoryContext,
  ) {}

  /** Longest time in ms by which the cloud's list may be out of date. */
  private get lagMs(): number {
    return this.settings.platform.cloudLimits.listLagS * 1000;
  }

  /** Starts reading the list if the next read is due and none is in progress. */
  step(now: number): void {
    if (!this.readInProgress && now - this.lastReadAt >= this.intervalMs) this.read();
  }

  private get intervalMs(): number {
    const { cloud, workers } = this.context;
    return Math.max(
      this.lagMs,
      this.settings.heartbeatIntervalMs * HEARTBEATS_PER_LIST,
      cloud.listIntervalMs(workers.machines.size),
    );
  }

  private read(): void {
    this.readInProgress = true;
    this.context.cloud.listMachines((result) => {
      this.readInProgress = false;
      if (result.kind === 'failed') {
        this.lastReadAt = this.eventLoop.now() - RETRY_LAG_SHARE * this.lagMs;
        return;
      }
      this.lastReadAt = this.eventLoop.now();
      if (this.context.mayActAsLeader()) this.apply(result.machines);
    });
  }

  private apply(entries: readonly ListedMachine[]): void {
    this.synced = true;
    const now = this.eventLoop.now();
    const listedIds = new Set<string>();
    for (const entry of entries) {
      listedIds.add(entry.id);
      if (!this.context.scaleIn.isReleasing(entry.id)) this.applyEntry(entry, now);
    }
    this.markAbsent(listedIds, now);
  }

  private applyEntry(entry: ListedMachine, now: number): void {
    const { workers, scaleIn } = this.context;
    const knownMachine = workers.machines.get(entry.id);
    if (knownMachine !== undefined) this.update(knownMachine, entry, now);
    else if (entry.state === 'failed') scaleIn.release([entry.id], 'failed');
    else this.addBooting(entry, now);
  }

  private update(machine: Machine, entry: ListedMachine, now: number): void {
    machine.cloudState = entry.state;
    machine.cloudStateAt = now;
    if (machine.addr === '') machine.addr = entry.addr;
    if (machine.typeName === '' || machine.type === null)
      this.context.workers.setDescription(machine, entry.type, entry.zone, entry.spot, entry.addr);
  }

  private addBooting(
    { id, type: typeName, zone, spot, ageS, state }: ListedMachine,
    now: number,
  ): void {
    const { booting } = this.context;
    const isRunning = state === 'running';
    const bootingMachine = booting.get(id);
    if (bootingMachine !== undefined) {
      bootingMachine.listedAsRunning ||= isRunning;
      return;
    }
    const type = this.context.types()?.find((offeredType) => offeredType.name === typeName);
    if (type === undefined) return;
    booting.set(id, {
      type,
      zone,
      spot,
      listedAsRunning: isRunning,
      requestedAt: now - ageS * 1000,
      knownSince: now,
    });
  }

  /**
   * Marks machines as absent once they have been missing from the list for long. The cloud lists a machine as
   * long as it exists, but a list can show an older state than the previous list did. A machine that is missing
   * from one list may therefore still exist.
   */
  private markAbsent(listedIds: ReadonlySet<string>, now: number): void {
    const listStalenessMs = Math.max(this.lagMs, this.context.cloud.listIntervalMs(listedIds.size));
    const absentAfterMs = listStalenessMs * ABSENT_LAGS + this.settings.heartbeatIntervalMs;
    for (const machine of this.context.workers.machines.values()) {
      if (listedIds.has(machine.id) || machine.cloudStateAt === -Infinity) continue;
      if (now - machine.cloudStateAt > absentAfterMs) machine.cloudState = 'absent';
    }
  }
}
