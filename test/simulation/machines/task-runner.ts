/** The tasks of one simulated machine: images, capacity, run times, checkpoints and exits. */
import type { MachineType } from '../../../src/controller/wire/cloud.js';
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { GangMemberRunner } from './gangs.js';
import type { MachineContext } from './machine-context.js';
import type { Placement } from '../rules/placement.js';
import { newTask, toHeartbeatTask, type Command, type Task } from './task.js';

/** Tolerance for rounding errors in free CPUs, GPUs and gigabytes of memory. */
const ROUNDING_TOLERANCE = 1e-6;
/** A failing task ends after this fraction of its run time. */
const FAILURE_RUN_SHARE = 0.3;
/**
 * Range of the time after which a replica ends without being stopped, as multiples of its run time.
 */
const REPLICA_RUN_FACTORS = { least: 0.5, most: 2 };

/** A machine as seen by its task runner. */
export interface TaskHost {
  readonly placement: Placement;
  readonly type: MachineType;
  /**
   * Runs the function now or, if the machine hangs, when the machine resumes. Has no effect if the
   * machine has already ended.
   */
  whenAwake(run: () => void): void;
  /** Schedules a heartbeat that reports a change of the machine's state. */
  stateChanged(): void;
}

/** Amounts of CPUs, GPUs and memory that are not used by any task. */
interface Capacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Runs the tasks of one machine according to the commands of the controllers. */
export class TaskRunner implements GangMemberRunner {
  /** Number of attempts that commands have started, including those that were refused. */
  startCount = 0;
  private readonly tasks = new Map<string, Task>();
  private readonly images = new Set<string>();

  constructor(
    private readonly host: TaskHost,
    private readonly context: MachineContext,
  ) {}

  /** Ends all tasks immediately; does not schedule a heartbeat. */
  killAll(): void {
    for (const task of this.tasks.values()) {
      if (task.status === 'exited') continue;
      task.timer?.cancel();
      task.status = 'exited';
      task.cause = 'killed';
      this.recordEnd(task);
    }
  }

  /** Removes all tasks, so that heartbeats no longer list them. */
  clear(): void {
    this.tasks.clear();
  }

  /** Whether a task has not exited. */
  get isBusy(): boolean {
    return [...this.tasks.values()].some(({ status }) => status !== 'exited');
  }

  /** Returns the tasks in the form in which heartbeats list them. */
  heartbeatTasks(): Record<string, unknown>[] {
    return [...this.tasks.values()].map(toHeartbeatTask);
  }

  /** Returns the capacity that is not used by any task other than `except`. */
  freeCapacity(except?: Task): Capacity {
    const { cpus, gpus, memoryGb } = this.host.type;
    const free = { cpus, gpus, memoryGb };
    for (const task of this.tasks.values()) {
      const spec = this.context.specOf(task.jobId);
      if (task === except || task.status === 'exited' || spec === undefined) continue;
      free.cpus -= spec.cpus;
      free.gpus -= spec.gpus;
      free.memoryGb -= spec.memoryGb;
    }
    return free;
  }

  /** Executes a command of a controller. */
  execute(command: Command): void {
    const existing = this.tasks.get(command.duty);
    this.host.stateChanged();
    if (command.verb === 'run') this.start(command, existing);
    else if (existing?.attempt !== command.try) return;
    else if (command.verb === 'clear') {
      if (existing.status === 'exited') this.tasks.delete(command.duty);
    } else if (command.verb === 'stop') this.stop(existing, command.leeway_s ?? 0);
  }

  private start(command: Command, existing: Task | undefined): void {
    if (existing?.attempt === command.try) return;
    if (existing !== undefined && existing.status !== 'exited') return;
    this.startCount++;
    const task = newTask(command);
    this.tasks.set(command.duty, task);
    const spec = this.context.specOf(task.jobId);
    if (spec === undefined) return reject(task, 'unknown');
    if (!this.hasCapacity(spec, task)) return reject(task, 'no_room');
    const { fetchGbPerS } = this.host.type;
    const fetchMs = this.images.has(spec.image) ? 0 : (spec.imageGb / fetchGbPerS) * 1000;
    task.timer = this.context.clock.after(fetchMs, () =>
      this.host.whenAwake(() => this.startWithImage(task, spec)),
    );
  }

  private hasCapacity(spec: JobSpec, task: Task): boolean {
    const { cpus, gpus, memoryGb } = this.freeCapacity(task);
    return (
      spec.cpus <= cpus + ROUNDING_TOLERANCE &&
      spec.gpus <= gpus + ROUNDING_TOLERANCE &&
      spec.memoryGb <= memoryGb + ROUNDING_TOLERANCE
    );
  }

  /** Starts a task whose image has been fetched. */
  private startWithImage(task: Task, spec: JobSpec): void {
    if (task.status !== 'pulling') return;
    this.images.add(spec.image);
    task.started = true;
    this.context.checker.taskStarted(task.jobId, task.index, { ...this.host.placement });
    this.host.stateChanged();
    if (spec.kind === 'gang') this.waitForGang(task, spec);
    else if (spec.kind === 'service') this.runReplica(task);
    else this.runArrayTask(task);
  }

  private waitForGang(task: Task, spec: JobSpec): void {
    const { gangs, settings, clock } = this.context;
    task.status = 'waiting';
    task.timer = clock.after(settings.maxGangWaitMs, () => {
      if (task.status === 'waiting') this.finish(task, 'alone');
    });
    gangs.join(this, task, spec.tasks, this.context.runMs(task.jobId));
  }

  /**
   * Runs a replica. A replica is meant to run until it is stopped, but simulated replicas end by
   * themselves after a random time, with a random cause.
   */
  private runReplica(task: Task): void {
    const { clock, random } = this.context;
    task.status = 'running';
    const { least, most } = REPLICA_RUN_FACTORS;
    const endsAfterMs = this.context.runMs(task.jobId) * random.between(least, most);
    const cause = random.pick(['done', 'error', 'other']);
    task.timer = clock.after(endsAfterMs, () =>
      this.host.whenAwake(() => {
        this.context.replicasEnded++;
        this.finish(task, cause);
      }),
    );
  }

  private runArrayTask(task: Task): void {
    const { clock, random } = this.context;
    task.status = 'running';
    const fails = random.next() < this.context.taskFailures;
    const endsAfterMs = this.context.runMs(task.jobId) * (fails ? FAILURE_RUN_SHARE : 1);
    task.timer = clock.after(endsAfterMs, () =>
      this.host.whenAwake(() => this.finish(task, fails ? 'error' : 'done')),
    );
  }

  /** Starts a waiting gang member; called when all members of its gang are waiting. */
  startGangMember(task: Task): void {
    task.timer?.cancel();
    task.status = 'running';
    this.host.stateChanged();
  }

  /** Ends the task with the given cause, unless it has already ended. */
  finish(task: Task, cause: string): void {
    if (task.status === 'exited') return;
    task.timer?.cancel();
    task.status = 'exited';
    task.cause = cause;
    if (cause === 'done') this.context.checker.taskCompleted(task.jobId, task.index);
    this.recordEnd(task);
    this.host.stateChanged();
  }

  private recordEnd(task: Task): void {
    const { checker, gangs, settings } = this.context;
    if (task.started) checker.taskStopped(task.jobId, task.index, this.host.placement.machine);
    task.started = false;
    gangs.leave(task, settings.gangPeerExitMs);
  }

  private stop(task: Task, graceS: number): void {
    if (task.status === 'exited') return;
    const spec = this.context.specOf(task.jobId);
    const savesCheckpoint =
      spec !== undefined &&
      spec.checkpointIntervalS > 0 &&
      task.status === 'running' &&
      graceS >= spec.checkpointSaveS;
    if (task.status === 'flushing' && graceS > 0) return;
    if (!savesCheckpoint) return this.finish(task, 'stopped');
    task.status = 'flushing';
    task.timer?.cancel();
    task.timer = this.context.clock.after(spec.checkpointSaveS * 1000, () => {
      task.checkpointed = true;
      this.finish(task, 'stopped');
    });
  }
}

function reject(task: Task, cause: string): void {
  task.status = 'exited';
  task.cause = cause;
}
