/** Machines that have been launched and have not sent a heartbeat to this leader yet. */
import type { MachineKind } from '../placement/capacity/machine-kind.js';

/** A booting machine. Times are readings of the monotonic clock in ms. */
export interface BootingMachine extends MachineKind {
  /** When the launch was requested; computed from the age in the cloud's list if another term requested it. */
  requestedAt: number;
  /** When this leader learned of the machine; for its own launches, when it requested them. */
  knownSince: number;
  /** Whether the cloud lists the machine as running although no heartbeat has arrived. */
  listedAsRunning: boolean;
}

/** The booting machines by id. */
export type BootingMachines = Map<string, BootingMachine>;
