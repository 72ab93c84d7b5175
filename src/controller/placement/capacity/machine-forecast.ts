/** What is to be expected of the tasks on one machine. */
import type { Assignment } from '../../model/entities.js';

/** When a task should have left its machine by itself. */
export interface ExpectedEnd {
  assignment: Assignment;
  endsAt: number;
}

/** What a machine's tasks are expected to do. */
export interface MachineForecast {
  /** Earliest first. */
  expectedEnds: ExpectedEnd[];
  /** Some are being stopped. */
  hasStopping: boolean;
  /** The longest time that any of them needs to save when it is stopped. */
  longestSaveMs: number;
  /** Of those that are old enough to be stopped: the lowest level, and whether any is outside its team's guarantee. */
  lowestLevel: number;
  hasUnguaranteed: boolean;
}
