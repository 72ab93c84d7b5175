/** Scoring of machines for a job, beside the fetch of its image. */
import type { Job } from '../../model/entities.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';

/** Work without GPUs on a machine that has some. */
const CPU_WORK_ON_GPU_MACHINE = 30;
/** Work that can be done again on a reliable machine, or a replica of a service on a spot one. */
const UNSUITABLE_MARKET = 15;
/** A machine on which tasks of the job have failed. */
const FAILED_BEFORE = 60;
/** A gang in room that is kept for another class. */
const INTRUSION = 25;
/** What is left of the machine, as a share of it: tight fits come first. */
const LEFTOVER = 10;

/** What speaks against a machine for the job; lower is better. */
export function machinePenalty(job: Job, capacity: FreeCapacity): number {
  const { spec } = job;
  const { machine } = capacity;
  const { type } = machine;
  if (type === null) return Infinity;
  let penalty = 0;
  if (spec.gpus === 0 && type.gpus > 0) penalty += CPU_WORK_ON_GPU_MACHINE;
  // Cheap machines are for work that can be done again; a replica there is down with each that goes.
  if (spec.spot && machine.spot === job.isService) penalty += UNSUITABLE_MARKET;
  if (job.failedMachines.has(machine.id)) penalty += FAILED_BEFORE;
  if (spec.kind === 'gang' && capacity.intrudesOnHeadroom(spec)) penalty += INTRUSION;
  const left =
    spec.gpus > 0
      ? (capacity.gpus - spec.gpus) / type.gpus
      : (capacity.cpus - spec.cpus) / type.cpus;
  return penalty + LEFTOVER * left;
}
