/** Machines that have been launched and are not up yet. */
import type { MachineKind } from '../placement/capacity/machine-kind.js';

/** A booting machine as this leader knows it. Times are of the steady clock, in milliseconds. */
export interface BootingMachine extends MachineKind {
  /** When the launch was requested, for machines of another term by the age that the cloud lists. */
  requestedAt: number;
  /** When this leader learned of the machine. */
  knownSince: number;
  /** The cloud lists the machine as running, but no heartbeat has arrived. */
  listedAsRunning: boolean;
}

/** The booting machines by id. */
export type BootingMachines = Map<string, BootingMachine>;
