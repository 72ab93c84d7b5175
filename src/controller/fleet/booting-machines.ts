/** Machines that are rented and have not come up yet. */
import type { MachineKind } from '../placement/capacity/machine-kind.js';

/** A machine that boots, as far as this leader knows. */
export interface BootingMachine extends MachineKind {
  /** When it was rented. */
  requestedAt: number;
  /** When this leader learned of it. */
  knownSince: number;
  /** The cloud's list has shown it running: only its reports have not been seen. */
  listedAsRunning: boolean;
}

/** The machines that are rented and have not come up yet, by id. */
export type BootingMachines = Map<string, BootingMachine>;
