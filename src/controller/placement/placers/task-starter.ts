/** Assignment of tasks to machines, under attempt numbers that are unique over all terms. */
import type { Job } from '../../model/entities.js';
import type { Workers } from '../../workers/workers.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';

/** Attempt numbers of one term. */
const ATTEMPTS_PER_TERM = 2 ** 22;

/** What assigns tasks to machines. */
export type TaskAssigner = Pick<Workers, 'assign' | 'term'>;

/** Starts tasks and numbers their attempts. The term makes the numbers unique over all leaders. */
export class TaskStarter {
  private attempts = 0;

  constructor(
    private readonly workers: TaskAssigner,
    /** Called when this term has used up its attempt numbers. */
    private readonly attemptsExhausted: () => void,
  ) {}

  /** A new attempt number, for a gang as a whole or for tasks that start one by one. */
  nextAttempt(): number {
    this.attempts++;
    if (this.attempts >= ATTEMPTS_PER_TERM) this.attemptsExhausted();
    return this.workers.term * ATTEMPTS_PER_TERM + this.attempts;
  }

  /** Starts `count` pending tasks of the job on a machine. `attempt`: for a gang, whose tasks share one. */
  start(job: Job, capacity: FreeCapacity, count: number, attempt?: number): void {
    capacity.forecast = null;
    for (let started = 0; started < count; started++) {
      const task = job.pending.pop();
      if (task === undefined) return;
      const taskAttempt = attempt ?? job.attemptFor(task, () => this.nextAttempt());
      this.workers.assign(job, task, taskAttempt, capacity.machine);
    }
  }
}
