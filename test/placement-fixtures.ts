/** Example jobs, machines and passes for the unit tests of placement. */
import assert from 'node:assert/strict';
import { type Assignment, Job, Machine } from '../src/controller/model/entities.js';
import { ClusterCapacity } from '../src/controller/placement/capacity/cluster-capacity.js';
import { FreeCapacity } from '../src/controller/placement/capacity/free-capacity.js';
import { PlacementPass } from '../src/controller/placement/pass/placement-pass.js';
import type { QueuedJob } from '../src/controller/placement/pass/rank.js';
import type { Candidate } from '../src/controller/placement/search/candidate-finder.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { Settings } from '../src/controller/settings/settings.js';
import type { MachineType } from '../src/controller/wire/cloud.js';
import type { JobSpec } from '../src/controller/wire/jobs.js';
import { arraySpec } from './fakes.js';
import { standalonePlatform } from './platform.js';

/** Size limit of a machine's record, large enough for every test. */
const RECORD_LIMIT_BYTES = 10_000;

/** A machine type with capacity for four tasks of `gpuArraySpec`. */
export const bigMachineType: MachineType = {
  ...{ name: 'big', cpus: 16, gpus: 4, memoryGb: 64, cacheGb: 10 },
  ...{ fetchGbPerS: 1, price: 1, spotPrice: 1, bootS: 10, zones: ['a', 'b'] },
};

/** The settings of a controller without peers, with the default properties. */
export const defaultSettings = new Settings(standalonePlatform(), defaultProperties());

/** A job array of two tasks with one GPU each, with the given fields replaced. */
export function gpuArraySpec(overrides: Partial<JobSpec> = {}): JobSpec {
  return arraySpec({ team: 'red', cpus: 4, gpus: 1, memoryGb: 4, ...overrides });
}

/** A job with the spec of `gpuArraySpec`. */
export function gpuJob(overrides: Partial<JobSpec> = {}, submittedAt = 0): Job {
  return new Job(gpuArraySpec(overrides), submittedAt, 1, submittedAt);
}

/** A machine of the big type whose worker has acknowledged the leader's fencing token. */
export function bigMachine(id = 'n-1', zone = 'a'): Machine {
  const machine = new Machine(id, 0, defaultSettings);
  machine.type = bigMachineType;
  machine.zone = zone;
  machine.tokenAcknowledged = true;
  return machine;
}

/** The free capacity of a machine, by default of a big machine without tasks. */
export function capacityOf(machine: Machine = bigMachine()): FreeCapacity {
  return new FreeCapacity(machine, RECORD_LIMIT_BYTES);
}

/** Adds to the job an assignment of a task that runs on the machine, and returns it. */
export function runningAssignment(job: Job, machine: Machine, task = 0): Assignment {
  const assignment = {
    ...{ name: `${job.spec.id}/${task}`, jobId: job.spec.id, job, machine, task },
    ...{ phase: 'seen', stop: null, checkpointSaveS: 3 },
  } as unknown as Assignment;
  job.allAssignments.add(assignment);
  return assignment;
}

/** A placement pass over the queue at time 0. */
export function passOver(
  machines: Machine[],
  queue: QueuedJob[] = [],
  lowestLevel = Infinity,
): PlacementPass {
  const cluster = new ClusterCapacity(machines, RECORD_LIMIT_BYTES);
  return new PlacementPass(0, cluster, queue, lowestLevel);
}

/** The queue entry of a job in a placement pass. */
export function queued(job: Job, rank = 0): QueuedJob {
  return { job, rank, hasPreempted: false, acceptsFetch: false };
}

/** The free capacity of a machine as a pass tracks it. */
export function capacityIn(pass: PlacementPass, machineId: string): FreeCapacity {
  return pass.cluster.byMachineId.get(machineId) ?? assert.fail(`no machine ${machineId}`);
}

/** A candidate machine on which `count` tasks of a job can start. */
export function candidate(capacity: FreeCapacity, count: number, score = 0): Candidate {
  return { capacity, count, score };
}
