/** The forecast of when the tasks on one machine end. */
import type { Assignment } from '../../model/entities.js';

/** When a task is expected to end if it is not preempted. */
export interface ExpectedEnd {
  assignment: Assignment;
  /** On the controller's monotonic clock in ms; `Infinity` if the task is not expected to end. */
  endsAt: number;
}

/** When the tasks of a machine are expected to end, and whether some of them might be preempted. */
export interface MachineForecast {
  /** The expected ends of all tasks of the machine, earliest first. */
  expectedEnds: ExpectedEnd[];
  /** Whether any task is being stopped. */
  hasStopping: boolean;
  /** The longest time in ms that any of the tasks needs to save a checkpoint when it is stopped. */
  longestSaveMs: number;
  /** Lowest priority level of the tasks that are old enough to be preempted; `Infinity` if there are none. */
  lowestLevel: number;
  /** Whether a task is old enough to be preempted and belongs to a job not covered by its team's guarantee. */
  hasUnguaranteed: boolean;
}
