/** Machines as the rule checker sees them. */

/** Where a task is. */
export interface Place {
  machine: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** What a machine has free. */
export interface FreeRoom {
  type: string;
  zone: string;
  spot: boolean;
  recalled: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
}
