/** Placements of tasks and free capacity of machines, as the rule checker receives them. */

/** The machine that a task is on. */
export interface Placement {
  machine: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** A machine with its free resources. */
export interface FreeCapacity {
  type: string;
  zone: string;
  spot: boolean;
  interruptionNotice: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
}
