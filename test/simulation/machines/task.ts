/** Tasks on a simulated machine, and the commands for them. */
import type { Timer } from '../../../src/controller/runtime/runtime.js';

/** A command from a controller to a worker, as on the wire. */
export interface Command {
  verb: string;
  duty: string;
  try: number;
  leeway_s?: number;
}

/** An attempt at a task on a machine. */
export interface Task {
  jobId: string;
  index: number;
  attempt: number;
  status: string;
  cause: string | null;
  checkpointed: boolean;
  /** Whether the attempt has its image, has started and has not yet ended. */
  started: boolean;
  timer: Timer | null;
}

/** Returns a new attempt for a `run` command, in the state before its image is fetched. */
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

/** Returns the task in the form in which heartbeats list it. */
export function toHeartbeatTask(task: Task): Record<string, unknown> {
  return {
    duty: `${task.jobId}/${task.index}`,
    try: task.attempt,
    status: task.status,
    ...(task.cause === null ? {} : { cause: task.cause }),
    ...(task.checkpointed ? { saved: true } : {}),
  };
}
