/** Simulated workers of the placement tests, as plain data. */
import type { MachineType } from '../src/controller/wire/cloud.js';
import type { TaskStatus } from '../src/controller/wire/workers.js';
import type { Int } from '../src/controller/wire/integers.js';
import { makeFencingToken } from '../src/controller/workers/fencing-token.js';

/** The leader's term in the placement tests. */
export const TERM = 3;

/** The type of every machine in the placement tests. */
export const machineType: MachineType = {
  ...{ name: 'g', cpus: 8, gpus: 4, memoryGb: 64, cacheGb: 50, fetchGbPerS: 0.5 },
  ...{ price: 1, spotPrice: 1, bootS: 10, zones: ['a', 'b'] },
};

/** Options of a simulated worker. */
export interface WorkerOptions {
  zone?: string;
  spot?: boolean;
  images?: string[];
}

/** A worker that executes every command unless it is unresponsive. */
export interface SimulatedWorker {
  id: string;
  zone: string;
  spot: boolean;
  unresponsive: boolean;
  agentEpoch: number;
  fencingToken: Int;
  spotNoticeS: number | null;
  tasks: TaskStatus[];
  images: Set<string>;
  /** Time at which the image fetch of each task ends, by the task's name. */
  fetchEndsAt: Map<string, number>;
}

/** A command, with the field names of the worker protocol. */
export interface SentCommand {
  verb: string;
  duty: string;
  try: number;
}

/** Returns a worker without tasks that has the given images. */
export function newWorker(
  { zone = 'a', spot = false, images = [] }: WorkerOptions,
  id: string,
): SimulatedWorker {
  return {
    ...{ id, zone, spot, unresponsive: false, agentEpoch: 1, spotNoticeS: null, tasks: [] },
    ...{ fencingToken: makeFencingToken(TERM, 0), images: new Set(images) },
    fetchEndsAt: new Map<string, number>(),
  };
}

/** Whether the task belongs to the job and has not exited. */
export function isCurrentTaskOf({ name, state }: TaskStatus, jobId: string): boolean {
  return state !== 'exited' && name.startsWith(`${jobId}/`);
}
