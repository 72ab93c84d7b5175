/**
 * Scoring of machines for a job, beside the fetch of its image. Among machines where tasks can start now
 * a penalty counts like as many seconds of a fetch.
 */
import type { Job } from '../../model/entities.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';

/** For work without GPUs on a machine that has some. */
const UNUSED_GPUS_PENALTY = 30;

/** For repeatable work on an on-demand machine, or a replica of a service on a spot one. */
const MARKET_PENALTY = 15;

/** For a machine on which tasks of the job have failed. */
const FAILURE_PENALTY = 60;

/** For a gang on headroom of another class. */
const INTRUSION_PENALTY = 25;

/** For the whole machine being left over: tight fits come first. */
const LEFTOVER_PENALTY = 10;

/** What speaks against a machine for the job; lower is better. */
export function machinePenalty(job: Job, capacity: FreeCapacity): number {
  const { spec } = job;
  const { machine } = capacity;
  const { type } = machine;
  if (type === null) return Infinity;
  let penalty = 0;
  if (spec.gpus === 0 && type.gpus > 0) penalty += UNUSED_GPUS_PENALTY;
  // Spot machines are for work that can be done again; a replica is down with each interruption.
  if (spec.spot && machine.spot === job.isService) penalty += MARKET_PENALTY;
  if (job.failedMachines.has(machine.id)) penalty += FAILURE_PENALTY;
  if (spec.kind === 'gang' && capacity.intrudesOnHeadroom(spec)) penalty += INTRUSION_PENALTY;
  const leftoverShare =
    spec.gpus > 0
      ? (capacity.gpus - spec.gpus) / type.gpus
      : (capacity.cpus - spec.cpus) / type.cpus;
  return penalty + LEFTOVER_PENALTY * leftoverShare;
}
