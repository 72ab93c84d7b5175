/** Tasks on a simulated machine, and the orders that concern them. */
import type { Timer } from '../../../src/controller/runtime/runtime.js';

/** An order of a controller to a worker, as on the wire. */
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
  /** Whether it has its image and takes room on the machine. */
  onMachine: boolean;
  timer: Timer | null;
}

/** The attempt that a `run` order asks for, before it has its image. */
export function newTask(order: Command): Task {
  const slash = order.duty.lastIndexOf('/');
  return {
    jobId: order.duty.slice(0, slash),
    index: Number(order.duty.slice(slash + 1)),
    attempt: order.try,
    status: 'pulling',
    cause: null,
    checkpointed: false,
    onMachine: false,
    timer: null,
  };
}

/** The task as workers report it. */
export function toHeartbeatTask(task: Task): Record<string, unknown> {
  return {
    duty: `${task.jobId}/${task.index}`,
    try: task.attempt,
    status: task.status,
    ...(task.cause === null ? {} : { cause: task.cause }),
    ...(task.checkpointed ? { saved: true } : {}),
  };
}
