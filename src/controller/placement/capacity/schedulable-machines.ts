/** Which machines tasks may be placed on. */
import type { Machine } from '../../model/entities.js';

/** Tells whether a machine's worker has been heard lately. */
export interface WorkerLiveness {
  isAlive(machine: Machine): boolean;
}

/** Whether tasks may be placed on the machine now: its worker is known and responsive, and it stays. */
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
