/** The machines that a leader knows. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import { Machine } from './machine.js';
import type { FencingTokenSync } from './fencing-token-sync.js';

/**
 * Machines that are gone are remembered for so many leases, however many they are: the network may
 * bring copies of their reports for minutes.
 */
const REMOVED_MACHINE_LEASES = 60;

/** What reports and the cloud's list say of a machine. */
export interface MachineDescription {
  type: string;
  zone: string;
  spot: boolean;
  /** Empty while it is not known. */
  addr: string;
}

/** Machines by name, and the names of those that are gone for ever. */
export class MachineRegistry {
  readonly machines = new Map<string, Machine>();
  /** Machines that are gone, and since when, the oldest first; names are not used again. */
  private readonly removedMachines = new Map<string, number>();

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'>,
    private readonly settings: Settings,
    private readonly fencingTokens: FencingTokenSync,
    private readonly findType: (name: string) => MachineType | undefined,
  ) {}

  /** The machine of this name, made known if it is not. */
  getOrCreate(id: string): Machine {
    const known = this.machines.get(id);
    if (known !== undefined) return known;
    const machine = new Machine(id, this.eventLoop.now(), this.settings);
    machine.expectedToken = this.fencingTokens.currentToken(machine);
    this.machines.set(id, machine);
    return machine;
  }

  /** Sets what is known of the machine; an empty address changes nothing. */
  setDescription(machine: Machine, { type, zone, spot, addr }: MachineDescription): void {
    machine.typeName = type;
    machine.type = this.findType(type) ?? null;
    machine.zone = zone;
    machine.spot = spot;
    if (addr !== '') machine.addr = addr;
  }

  /** Takes over what a report says of the machine, if it is new. */
  updateDescription(machine: Machine, reported: MachineDescription): void {
    const changed =
      machine.typeName !== reported.type ||
      machine.addr !== reported.addr ||
      machine.zone !== reported.zone ||
      machine.spot !== reported.spot ||
      machine.type === null;
    if (changed) this.setDescription(machine, reported);
  }

  /** The machine is gone for ever. */
  remove(machine: Machine): void {
    this.machines.delete(machine.id);
    this.removedMachines.set(machine.id, this.eventLoop.now());
    this.forgetRemoved();
  }

  private forgetRemoved(): void {
    const rememberedMs = this.settings.workerLeaseMs * REMOVED_MACHINE_LEASES;
    for (const [id, removedAt] of this.removedMachines) {
      if (this.eventLoop.now() - removedAt <= rememberedMs) return;
      this.removedMachines.delete(id);
    }
  }

  /** Whether a machine of this name is gone for ever, as far as remembered. */
  wasRemoved(id: string): boolean {
    return this.removedMachines.has(id);
  }
}
