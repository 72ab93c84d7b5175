/** Registry of the machines known to the leader and of the ids of removed machines. */
import { Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { FencingTokenSync } from './fencing-token-sync.js';

/**
 * Time for which the id of a removed machine is kept, in worker leases. The network may deliver
 * copies of its heartbeats for minutes, so ids are dropped by age only, never because there are too
 * many.
 */
const REMOVED_MACHINE_RETENTION_LEASES = 60;

/** Properties of a machine that heartbeats, records and the cloud's list contain. */
export interface MachineDescription {
  type: string;
  zone: string;
  spot: boolean;
  /** `host:port` of the worker; empty while it is not known. */
  addr: string;
}

/** Holds the machines by id, and the ids of machines that were removed recently. */
export class MachineRegistry {
  readonly machines = new Map<string, Machine>();
  /**
   * Time of removal (monotonic clock, ms) by the id of the removed machine, oldest first. The cloud
   * never reuses an id.
   */
  private readonly removedAtById = new Map<string, number>();

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'>,
    private readonly settings: Settings,
    private readonly fencingTokens: FencingTokenSync,
    private readonly findType: (name: string) => MachineType | undefined,
  ) {}

  /** Returns the machine with this id, and creates it if it does not exist. */
  getOrCreate(id: string): Machine {
    const existing = this.machines.get(id);
    if (existing !== undefined) return existing;
    const machine = new Machine(id, this.eventLoop.now(), this.settings);
    machine.expectedToken = this.fencingTokens.currentToken(machine);
    this.machines.set(id, machine);
    return machine;
  }

  /** Sets the properties of the machine. An empty `addr` keeps the known address. */
  setDescription(machine: Machine, { type, zone, spot, addr }: MachineDescription): void {
    machine.typeName = type;
    machine.type = this.findType(type) ?? null;
    machine.zone = zone;
    machine.spot = spot;
    if (addr !== '') machine.addr = addr;
  }

  /**
   * Sets the properties of the machine if the reported ones differ or its type is still unknown.
   */
  updateDescription(machine: Machine, reported: MachineDescription): void {
    const changed =
      machine.typeName !== reported.type ||
      machine.addr !== reported.addr ||
      machine.zone !== reported.zone ||
      machine.spot !== reported.spot ||
      machine.type === null;
    if (changed) this.setDescription(machine, reported);
  }

  /** Removes a machine that is permanently gone, and keeps its id for the retention time. */
  remove(machine: Machine): void {
    this.machines.delete(machine.id);
    this.removedAtById.set(machine.id, this.eventLoop.now());
    this.forgetRemoved();
  }

  private forgetRemoved(): void {
    const retentionMs = this.settings.workerLeaseMs * REMOVED_MACHINE_RETENTION_LEASES;
    for (const [id, removedAt] of this.removedAtById) {
      if (this.eventLoop.now() - removedAt <= retentionMs) return;
      this.removedAtById.delete(id);
    }
  }

  /** Returns true if the machine with this id was removed within the retention time. */
  wasRemoved(id: string): boolean {
    return this.removedAtById.has(id);
  }
}
