/** Which machines tasks may be placed on. */
import type { Machine } from '../workers/machine.js';

/** Tells whether a machine's worker is known to be there. */
export interface Liveness {
  alive(machine: Machine): boolean;
}

/** Whether tasks may be placed on the machine now. */
export function isUsable(machine: Machine, now: number, workers: Liveness): boolean {
  return (
    machine.type !== null &&
    machine.synced &&
    !machine.leaving &&
    machine.noticeAt === null &&
    machine.noPlacingBefore <= now &&
    machine.listed !== 'failed' &&
    workers.alive(machine)
  );
}
