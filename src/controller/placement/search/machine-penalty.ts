/**
 * Penalties of machines for a job, in points. They are added to the time that the machine needs to fetch the
 * job's image. In a search for machines where tasks can start now, one point weighs as much as 1 s of fetch
 * time. In a search for machines to reserve, it weighs as much as 1 ms.
 */
import type { Job } from '../../model/entities.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';

/** Penalty of a machine with GPUs for a job that needs none. */
const UNUSED_GPUS_PENALTY = 30;

/**
 * For jobs that may use spot machines: penalty of an on-demand machine for an array or gang, and of a spot
 * machine for a service.
 */
const MARKET_PENALTY = 15;

/** Penalty of a machine on which tasks of the job have failed. */
const FAILURE_PENALTY = 60;

/** Penalty of a machine for a gang that would use headroom kept for another class. */
const INTRUSION_PENALTY = 25;

/**
 * Penalty that is multiplied by the share of the machine's GPUs (or of its CPUs, if the job needs no GPUs)
 * that would stay free beside one task. Tight fits are therefore preferred.
 */
const LEFTOVER_PENALTY = 10;

/** Returns the penalty of a machine for the job; lower is better. */
export function machinePenalty(job: Job, capacity: FreeCapacity): number {
  const { spec } = job;
  const { machine } = capacity;
  const { type } = machine;
  if (type === null) return Infinity;
  let penalty = 0;
  if (spec.gpus === 0 && type.gpus > 0) penalty += UNUSED_GPUS_PENALTY;
  // Arrays and gangs can repeat interrupted tasks; a service replica is down during each interruption.
  if (spec.spot && machine.spot === job.isService) penalty += MARKET_PENALTY;
  if (job.failedMachines.has(machine.id)) penalty += FAILURE_PENALTY;
  if (spec.kind === 'gang' && capacity.intrudesOnHeadroom(spec)) penalty += INTRUSION_PENALTY;
  const leftoverShare =
    spec.gpus > 0
      ? (capacity.gpus - spec.gpus) / type.gpus
      : (capacity.cpus - spec.cpus) / type.cpus;
  return penalty + LEFTOVER_PENALTY * leftoverShare;
}
