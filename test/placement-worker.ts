/** The simulated workers of the tests of placement, as plain data. */
import type { MachineType } from '../src/controller/wire/cloud.js';
import type { TaskStatus } from '../src/controller/wire/workers.js';
import { makeFencingToken } from '../src/controller/workers/fencing-token.js';

/** The leader's term in these tests. */
export const TERM = 3;

/** The type of every machine. */
export const machineType: MachineType = {
  ...{ name: 'g', cpus: 8, gpus: 4, memoryGb: 64, cacheGb: 50, fetchGbPerS: 0.5 },
  ...{ price: 1, spotPrice: 1, bootS: 10, zones: ['a', 'b'] },
};

/** What the workers of a test differ in. */
export interface WorkerOptions {
  zone?: string;
  spot?: boolean;
  images?: string[];
}

/** A worker that does as it is told, unless it is unresponsive. */
export interface SimulatedWorker {
  id: string;
  zone: string;
  spot: boolean;
  unresponsive: boolean;
  agentEpoch: number;
  fencingToken: number;
  spotNoticeS: number | null;
  tasks: TaskStatus[];
  images: Set<string>;
  /** When the image fetches of its tasks end. */
  fetchEndsAt: Map<string, number>;
}

/** A command in the words of the workers' protocol. */
export interface SentCommand {
  verb: string;
  duty: string;
  try: number;
}

/** A worker without tasks, which has the images. */
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

/** Whether the task, which has not exited, is one of the job's. */
export function isCurrentTaskOf({ name, state }: TaskStatus, jobId: string): boolean {
  return state !== 'exited' && name.startsWith(`${jobId}/`);
}
