/** A small cluster for placement tests: the leader's real modules with simulated workers. */
import assert from 'node:assert/strict';
import { JobTable } from '../src/controller/jobs/job-table.js';
import { type Job } from '../src/controller/model/entities.js';
import { DurationEstimator } from '../src/controller/placement/estimates/duration-estimator.js';
import { ClassHeadroom } from '../src/controller/placement/headroom/class-headroom.js';
import { Placement } from '../src/controller/placement/placement.js';
import { EventLoop } from '../src/controller/runtime/event-loop.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { Settings } from '../src/controller/settings/settings.js';
import type { StateStoreClient } from '../src/controller/store/client.js';
import { writeJobSpec, type JobSpec } from '../src/controller/wire/jobs.js';
import type { ExitCause, TaskStatus } from '../src/controller/wire/workers.js';
import { Workers } from '../src/controller/workers/workers.js';
import { arraySpec, FakeClock, idleRuntime } from './fakes.js';
import { immediateRecords } from './fake-records.js';
import { standalonePlatform } from './platform.js';
import {
  isCurrentTaskOf,
  machineType,
  newWorker,
  TERM,
  type SentCommand,
  type SimulatedWorker,
  type WorkerOptions,
} from './placement-worker.js';

/** Interval between heartbeats of a worker, and between placement passes. */
export const STEP_MS = 1000;

/** Number of GPUs guaranteed to the team `owner`; in `serviceSettings` also its GPU limit. */
export const OWNER_GPUS = 4;

const noop = (): void => undefined;

/** Options of a test cluster. */
export interface ClusterOptions {
  settings: Settings;
  /** Values of job fields that a test does not set. */
  jobDefaults: Partial<JobSpec>;
  /** Time that a worker needs to fetch an image. */
  fetchMs: number;
  /** Called in each step instead of `Placement.runPass`. */
  runPass?: (placement: Placement) => void;
}

/** Jobs, workers and placement over a record store that stores records immediately. */
export class PlacementCluster {
  readonly table: JobTable;
  readonly workers: Workers;
  readonly placement: Placement;
  readonly simulatedWorkers: SimulatedWorker[];
  private readonly clock = new FakeClock(0);
  private sequence = 0;

  constructor(
    workers: WorkerOptions[],
    private readonly options: ClusterOptions,
  ) {
    const { settings } = options;
    this.simulatedWorkers = workers.map((worker, i) => newWorker(worker, `n-${i}`));
    const runtime = { ...idleRuntime(this.clock), hasSpareConnection: () => false };
    const eventLoop = new EventLoop(runtime, this.clock.log);
    const records = immediateRecords();
    const noClient = {} as unknown as StateStoreClient;
    this.table = new JobTable(eventLoop, settings, noClient, records, {
      ...{ onIncompleteGang: noop, onJobAdded: noop, onTasksPending: noop },
      ...{ onCompletionRecorded: noop, onTerminalState: noop },
      onRecordRemoved: (job) => this.workers.stopAll(job, 'job ended'),
      onJobTerminated: (job) => this.workers.jobTerminated(job),
    });
    this.workers = new Workers(eventLoop, settings, TERM, records, this.table, {
      findMachineType: () => machineType,
      ...{ termReported: noop, placementInputChanged: noop, taskCompleted: noop },
    });
    const estimator = new DurationEstimator();
    const noHeadroom = { memoryMs: 1000, maxShare: 0, spareDeviations: 0 };
    const headroom = new ClassHeadroom(noHeadroom, estimator, 0, () => null);
    this.placement = new Placement(
      ...([eventLoop, settings, this.table, this.workers, records, estimator, headroom] as const),
      { attemptsExhausted: noop },
    );
    for (const { id, images } of this.simulatedWorkers) this.addImages(id, images);
    this.run(2);
  }

  get now(): number {
    return this.clock.time;
  }

  private addImages(machineId: string, images: Iterable<string>): void {
    const machine = this.workers.getOrCreateMachine(machineId);
    for (const image of images) machine.images.set(image, 1);
  }

  /** Adds a job with one small task; the cluster's defaults and then `overrides` replace its fields. */
  add(overrides: Partial<JobSpec> = {}): Job {
    const spec = arraySpec({
      ...{ id: `req-${this.table.jobs.size}`, team: 'guest', tasks: 1 },
      ...this.options.jobDefaults,
      ...overrides,
    });
    this.table.add(spec.id, { job: writeJobSpec(spec), at: this.now }, 1);
    return this.table.jobs.get(spec.id) ?? assert.fail(`${spec.id} was not added`);
  }

  /** Adds machine `id`: a copy of machine `machineId`, but without tasks and with only the given image. */
  addMachineLike(machineId: string, id: string, image: string): void {
    const worker = this.worker(machineId);
    this.simulatedWorkers.push({ ...worker, id, tasks: [], images: new Set([image]) });
    this.addImages(id, [image]);
  }

  worker(id: string): SimulatedWorker {
    return (
      this.simulatedWorkers.find((worker) => worker.id === id) ?? assert.fail(`no worker ${id}`)
    );
  }

  /** Number of the job's tasks by machine id, for the machines that have any. */
  tasksByMachine(job: Job): Map<string, number> {
    const taskCounts = new Map<string, number>();
    for (const { id, tasks } of this.simulatedWorkers) {
      const count = tasks.filter((task) => isCurrentTaskOf(task, job.spec.id)).length;
      if (count > 0) taskCounts.set(id, count);
    }
    return taskCounts;
  }

  /** Number of the job's tasks on all machines. */
  taskCount(jobId: string): number {
    const tasks = this.simulatedWorkers.flatMap((worker) => worker.tasks);
    return tasks.filter((task) => isCurrentTaskOf(task, jobId)).length;
  }

  /** Makes one of the job's tasks on the given machine exit with the given cause. */
  exit(job: Job, cause: ExitCause, machineId: string): void {
    const { tasks } = this.worker(machineId);
    const index = tasks.findIndex((task) => isCurrentTaskOf(task, job.spec.id));
    tasks.splice(index, 1, { ...(tasks[index] ?? assert.fail()), state: 'exited', cause });
  }

  /** Completes one running task of the job; returns false if none is running. */
  complete(jobId: string): boolean {
    for (const { tasks } of this.simulatedWorkers) {
      const isRunning = (task: TaskStatus): boolean => task.state === 'running';
      const index = tasks.findIndex((task) => isCurrentTaskOf(task, jobId) && isRunning(task));
      const task = tasks[index];
      if (task === undefined) continue;
      tasks.splice(index, 1, { ...task, state: 'exited', cause: 'done' });
      return true;
    }
    return false;
  }

  /** Describes each machine and its tasks as a line of text. */
  describe(): string[] {
    return this.simulatedWorkers.map(({ id, tasks }) => {
      const taskTexts = tasks.map(({ name, attempt, state }) => `${name}@${attempt} ${state}`);
      return [id, ...taskTexts.sort()].join(' ');
    });
  }

  run(seconds: number): void {
    for (let i = 0; i < seconds; i++) this.step();
  }

  /**
   * Simulates one interval: every responsive worker sends a heartbeat and executes the commands in the
   * response, then a placement pass runs.
   */
  step(): void {
    this.clock.time += STEP_MS;
    for (const worker of this.simulatedWorkers)
      if (!worker.unresponsive) this.sendHeartbeat(worker);
    this.workers.setAnswering(true, STEP_MS);
    this.workers.expireLeases();
    if (this.options.runPass === undefined) this.placement.runPass();
    else this.options.runPass(this.placement);
    this.workers.flush();
  }

  private sendHeartbeat(worker: SimulatedWorker): void {
    if (worker.spotNoticeS !== null) worker.spotNoticeS -= STEP_MS / 1000;
    this.endFetches(worker);
    const { id, zone, spot, agentEpoch, fencingToken, spotNoticeS, tasks } = worker;
    const response = this.workers.handleHeartbeat({
      ...{ machine: id, addr: 'x:1', type: machineType.name, zone, spot, agentEpoch },
      ...{ sequence: ++this.sequence, fencingToken, spotNoticeS },
      tasks: tasks.map((task) => ({ ...task })),
    });
    if (response.status !== 200) {
      worker.agentEpoch++;
      worker.tasks = [];
      return;
    }
    const { baton, orders } = response.body as { baton: number; orders: SentCommand[] };
    worker.fencingToken = baton;
    for (const command of orders) this.execute(worker, command);
  }

  private endFetches({ tasks, images, fetchEndsAt }: SimulatedWorker): void {
    for (const task of tasks)
      if (task.state === 'fetching' && (fetchEndsAt.get(task.name) ?? 0) <= this.now) {
        task.state = 'running';
        images.add(this.imageOf(task.name));
      }
  }

  private imageOf(taskName: string): string {
    const [jobId = ''] = taskName.split('/');
    return this.table.jobs.get(jobId)?.spec.image ?? '';
  }

  private execute(worker: SimulatedWorker, { verb, duty, try: attempt }: SentCommand): void {
    const { tasks, images, fetchEndsAt } = worker;
    const index = tasks.findIndex((task) => task.name === duty);
    const task = tasks[index];
    if (verb === 'run') {
      const fetchMs = images.has(this.imageOf(duty)) ? 0 : this.options.fetchMs;
      fetchEndsAt.set(duty, this.now + fetchMs);
      const state = fetchMs === 0 ? 'running' : 'fetching';
      tasks.push({ name: duty, attempt, state, cause: null, checkpointSaved: false });
    } else if (task !== undefined && verb === 'stop')
      tasks.splice(index, 1, { ...task, state: 'exited', cause: 'stopped' });
    else if (task !== undefined) tasks.splice(index, 1);
  }
}

/** Returns the options of `count` identical workers. */
export function identicalWorkers(count: number, options: WorkerOptions = {}): WorkerOptions[] {
  return Array.from({ length: count }, () => options);
}

function settingsWith(teams: string): Settings {
  const properties = { ...defaultProperties(), 'placement.preempt.share': 1 };
  return new Settings(standalonePlatform(teams), properties);
}

/** Settings of `serviceCluster`: a team with a guarantee and a limit, and a team without a guarantee. */
export const serviceSettings = settingsWith(`
[[params.teams]]
name = "owner"
gpus = ${OWNER_GPUS}.0
gpus_max = ${OWNER_GPUS}.0
[[params.teams]]
name = "guest"
`);

const batchSettings = settingsWith(`
[[params.teams]]
name = "owner"
gpus = ${OWNER_GPUS}.0
[[params.teams]]
name = "guest"
gpus = 1.0
`);

/** A cluster whose jobs are, by default, services of the highest priority. */
export function serviceCluster(workers: WorkerOptions[]): PlacementCluster {
  const jobDefaults: Partial<JobSpec> = {
    ...{ kind: 'service', priority: 'production', estimatedRunS: 0 },
  };
  return new PlacementCluster(workers, { settings: serviceSettings, jobDefaults, fetchMs: 2000 });
}

/** A cluster of two machines; by default, jobs are arrays of one-GPU tasks whose images take no time to fetch. */
export function batchCluster(runPass?: (placement: Placement) => void): PlacementCluster {
  return new PlacementCluster(identicalWorkers(2), {
    settings: batchSettings,
    jobDefaults: { gpus: 1, imageGb: 0, estimatedRunS: 500 },
    fetchMs: 0,
    ...(runPass === undefined ? {} : { runPass }),
  });
}
