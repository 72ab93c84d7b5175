/** Machines that have been launched and have not sent a heartbeat to this leader yet. */
import type { MachineKind } from '../placement/capacity/machine-kind.js';

/** A booting machine. Times are readings of the monotonic clock in ms. */
export interface BootingMachine extends MachineKind {
  /**
   * When the launch was requested. If the machine was first seen in the cloud's list, this time is computed
   * from the machine's age in the list.
   */
  requestedAt: number;
  /** When this leader requested the machine, or first saw it in the cloud's list. */
  knownSince: number;
  /** Whether the cloud lists the machine as running although no heartbeat has arrived. */
  listedAsRunning: boolean;
}

/** The booting machines by id. */
export type BootingMachines = Map<string, BootingMachine>;
