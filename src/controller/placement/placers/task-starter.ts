/** Gives tasks to machines, under attempts that are unique over all time. */
import type { Job } from '../../model/entities.js';
import type { Workers } from '../../workers/workers.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';

/** Attempts of one leader; with the term they are unique over all time. */
const ATTEMPTS_PER_TERM = 2 ** 22;

/** What assigns tasks to machines. */
export type TaskAssigner = Pick<Workers, 'assign' | 'term'>;

/** Starts tasks and numbers their attempts. */
export class TaskStarter {
  private attempts = 0;

  constructor(
    private readonly workers: TaskAssigner,
    /** This term has used up its attempts. */
    private readonly exhausted: () => void,
  ) {}

  /** A new attempt, for a gang as a whole or for tasks that start one by one. */
  nextAttempt(): number {
    this.attempts++;
    if (this.attempts >= ATTEMPTS_PER_TERM) this.exhausted();
    return this.workers.term * ATTEMPTS_PER_TERM + this.attempts;
  }

  /** Starts pending tasks of the job on a machine; `attempt`: of a gang, others have their own. */
  start(job: Job, capacity: FreeCapacity, count: number, attempt?: number): void {
    capacity.forecast = null;
    for (let started = 0; started < count; started++) {
      const task = job.pending.pop();
      if (task === undefined) return;
      const own = attempt ?? job.attemptFor(task, () => this.nextAttempt());
      this.workers.assign(job, task, own, capacity.machine);
    }
  }
}
