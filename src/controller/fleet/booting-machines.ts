/** Machines that are rented and have not come up yet. */
import type { Kind } from '../placement/room.js';

/** A machine that boots, and since when. */
export interface BootingMachine extends Kind {
  since: number;
}

/** The machines that are rented and have not come up yet, by id. */
export type BootingMachines = Map<string, BootingMachine>;
