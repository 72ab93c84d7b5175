/** Tasks on a simulated machine, and the commands that concern them. */
import type { Timer } from '../../../src/controller/runtime/runtime.js';

/** A command of a controller to a worker, as on the wire. */
export interface Command {
  verb: string;
  duty: string;
  try: number;
  leeway_s?: number;
}

/** An attempt at a task that a machine knows of. */
export interface Task {
  jobId: string;
  index: number;
  attempt: number;
  status: string;
  cause: string | null;
  checkpointed: boolean;
  /** Whether it has its image and takes capacity of the machine. */
  started: boolean;
  timer: Timer | null;
}

/** The attempt that a `run` command asks for, before it has its image. */
export function newTask(command: Command): Task {
  const slash = command.duty.lastIndexOf('/');
  return {
    jobId: command.duty.slice(0, slash),
    index: Number(command.duty.slice(slash + 1)),
    attempt: command.try,
    status: 'pulling',
    cause: null,
    checkpointed: false,
    started: false,
    timer: null,
  };
}

/** The task as heartbeats list it. */
export function toHeartbeatTask(task: Task): Record<string, unknown> {
  return {
    duty: `${task.jobId}/${task.index}`,
    try: task.attempt,
    status: task.status,
    ...(task.cause === null ? {} : { cause: task.cause }),
    ...(task.checkpointed ? { saved: true } : {}),
  };
}
