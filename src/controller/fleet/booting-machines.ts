/** Machines that are rented and have not come up yet. */
import type { MachineKind } from '../placement/machine-kind.js';

/** A machine that boots, and since when. */
export interface BootingMachine extends MachineKind {
  since: number;
}

/** The machines that are rented and have not come up yet, by id. */
export type BootingMachines = Map<string, BootingMachine>;
