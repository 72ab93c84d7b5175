/** Which machines tasks may be placed on. */
import type { Machine } from '../../model/entities.js';

/** Tells whether a machine's worker is known to be there. */
export interface WorkerLiveness {
  isAlive(machine: Machine): boolean;
}

/** Whether tasks may be placed on the machine now. */
export function isSchedulable(machine: Machine, now: number, workers: WorkerLiveness): boolean {
  return (
    machine.type !== null &&
    machine.tokenAcknowledged &&
    !machine.releasing &&
    machine.interruptionAt === null &&
    machine.unschedulableUntil <= now &&
    machine.cloudState !== 'failed' &&
    workers.isAlive(machine)
  );
}
