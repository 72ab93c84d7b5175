/** The machines that a leader knows, and the names of those that are gone. */
import { Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { FencingTokenSync } from './fencing-token-sync.js';

/**
 * Machines that are gone are remembered for this many worker leases, however many they are: the network
 * may deliver copies of their heartbeats for minutes.
 */
const REMOVED_MACHINE_RETENTION_LEASES = 60;

/** Properties of a machine, as heartbeats, records and the cloud's list give them. */
export interface MachineDescription {
  type: string;
  zone: string;
  spot: boolean;
  /** `host:port` of the worker; empty while it is not known. */
  addr: string;
}

/** Machines by name, and the names of those that are gone for good. */
export class MachineRegistry {
  readonly machines = new Map<string, Machine>();
  /** Names of machines that are gone, with the time of removal, oldest first; a name is never reused. */
  private readonly removedAtByName = new Map<string, number>();

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'>,
    private readonly settings: Settings,
    private readonly fencingTokens: FencingTokenSync,
    private readonly findType: (name: string) => MachineType | undefined,
  ) {}

  /** The machine of this name; it is created if it is not known. */
  getOrCreate(id: string): Machine {
    const existing = this.machines.get(id);
    if (existing !== undefined) return existing;
    const machine = new Machine(id, this.eventLoop.now(), this.settings);
    machine.expectedToken = this.fencingTokens.currentToken(machine);
    this.machines.set(id, machine);
    return machine;
  }

  /** Sets the properties of the machine; an empty address leaves the known one. */
  setDescription(machine: Machine, { type, zone, spot, addr }: MachineDescription): void {
    machine.typeName = type;
    machine.type = this.findType(type) ?? null;
    machine.zone = zone;
    machine.spot = spot;
    if (addr !== '') machine.addr = addr;
  }

  /** Sets the properties of the machine if the heartbeat shows others than are known. */
  updateDescription(machine: Machine, reported: MachineDescription): void {
    const changed =
      machine.typeName !== reported.type ||
      machine.addr !== reported.addr ||
      machine.zone !== reported.zone ||
      machine.spot !== reported.spot ||
      machine.type === null;
    if (changed) this.setDescription(machine, reported);
  }

  /** Removes a machine that is gone for good; its name is remembered for a while. */
  remove(machine: Machine): void {
    this.machines.delete(machine.id);
    this.removedAtByName.set(machine.id, this.eventLoop.now());
    this.forgetRemoved();
  }

  private forgetRemoved(): void {
    const retentionMs = this.settings.workerLeaseMs * REMOVED_MACHINE_RETENTION_LEASES;
    for (const [id, removedAt] of this.removedAtByName) {
      if (this.eventLoop.now() - removedAt <= retentionMs) return;
      this.removedAtByName.delete(id);
    }
  }

  /** Whether a machine of this name is gone for good, as far as that is remembered. */
  wasRemoved(id: string): boolean {
    return this.removedAtByName.has(id);
  }
}
