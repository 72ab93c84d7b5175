/** Determines the machines on which tasks may be placed. */
import type { Machine } from '../../model/entities.js';

/** Reports whether workers send heartbeats. */
export interface WorkerLiveness {
  /** Whether a recent heartbeat of the machine's worker was received. */
  isAlive(machine: Machine): boolean;
}

/**
 * Returns whether tasks may be placed on the machine now: its type is known, its worker is responsive and has
 * acknowledged the fencing token, and the machine is not quarantined, failed, being released or about to be
 * interrupted.
 */
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
