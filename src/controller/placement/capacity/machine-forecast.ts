/** What is to be expected of the tasks on one machine. */
import type { Assignment } from '../../model/entities.js';

/** When a task should have left its machine by itself. */
export interface ExpectedEnd {
  assignment: Assignment;
  /** On the controller's clock; `Infinity`: never. */
  endsAt: number;
}

/** When the tasks of a machine should end, and which of them a job might preempt. */
export interface MachineForecast {
  /** Earliest first. */
  expectedEnds: ExpectedEnd[];
  /** Some tasks are being stopped. */
  hasStopping: boolean;
  /** The longest time that any of the tasks needs to save a checkpoint when it is stopped. */
  longestSaveMs: number;
  /** Lowest priority level of the tasks that are old enough to be preempted. */
  lowestLevel: number;
  /** Some of these are outside their team's guarantee. */
  hasUnguaranteed: boolean;
}
