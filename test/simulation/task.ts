/** Tasks on a simulated machine, and the orders that concern them. */
import type { Timer } from '../../src/controller/runtime/runtime.js';

/** An order of a controller to a worker, as on the wire. */
export interface Order {
  verb: string;
  duty: string;
  try: number;
  leeway_s?: number;
}

/** An attempt at a task that a machine knows of. */
export interface Task {
  id: string;
  task: number;
  attempt: number;
  status: string;
  cause: string | null;
  saved: boolean;
  /** Whether it has its image and takes room on the machine. */
  on: boolean;
  timer: Timer | null;
}

/** The attempt that a `run` order asks for, before it has its image. */
export function orderedTask(order: Order): Task {
  const slash = order.duty.lastIndexOf('/');
  return {
    id: order.duty.slice(0, slash),
    task: Number(order.duty.slice(slash + 1)),
    attempt: order.try,
    status: 'pulling',
    cause: null,
    saved: false,
    on: false,
    timer: null,
  };
}

/** The task as workers report it. */
export function reportedTask(task: Task): Record<string, unknown> {
  return {
    duty: `${task.id}/${task.task}`,
    try: task.attempt,
    status: task.status,
    ...(task.cause === null ? {} : { cause: task.cause }),
    ...(task.saved ? { saved: true } : {}),
  };
}
