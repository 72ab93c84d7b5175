/** Assignment of tasks to machines, with attempt numbers that are unique across all terms. */
import type { Job } from '../../model/entities.js';
import { combineInts, type Int } from '../../wire/integers.js';
import type { Workers } from '../../workers/workers.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';

/** Number of attempt numbers available in one term. */
const ATTEMPTS_PER_TERM = 2 ** 22;

/** Assigns tasks to machines in the current term. */
export type TaskAssigner = Pick<Workers, 'assign' | 'term'>;

/** Starts tasks and numbers their attempts. The numbers contain the term, so they differ between leaders. */
export class TaskStarter {
  private attempts = 0;

  constructor(
    private readonly workers: TaskAssigner,
    /** Called when this term has used up its attempt numbers. */
    private readonly attemptsExhausted: () => void,
  ) {}

  /** Returns a new attempt number, for a whole gang or for tasks that start independently. */
  nextAttempt(): Int {
    this.attempts++;
    if (this.attempts >= ATTEMPTS_PER_TERM) this.attemptsExhausted();
    return combineInts(this.workers.term, ATTEMPTS_PER_TERM, this.attempts);
  }

  /**
   * Starts up to `count` pending tasks of the job on a machine.
   * @param attempt - the attempt number that all tasks of a gang share; missing if the job is not a gang
   */
  start(job: Job, capacity: FreeCapacity, count: number, attempt?: Int): void {
    capacity.forecast = null;
    for (let started = 0; started < count; started++) {
      const task = job.pending.pop();
      if (task === undefined) return;
      const taskAttempt = attempt ?? job.attemptFor(task, () => this.nextAttempt());
      this.workers.assign(job, task, taskAttempt, capacity.machine);
    }
  }
}
