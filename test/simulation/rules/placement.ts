/** Machines as the rule checker sees them. */

/** Where a task is. */
export interface Placement {
  machine: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** What a machine has free. */
export interface FreeCapacity {
  type: string;
  zone: string;
  spot: boolean;
  interruptionNotice: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
}
