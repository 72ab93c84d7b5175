/** The rule that the tasks of cancelled jobs leave their machines in time. */
import type { ObservedJob } from './observed-job.js';
import type { RuleContext } from './rule-context.js';

/** Checks cancelled jobs until none of their tasks is on a machine any more. */
export class CancellationRule {
  /** Cancelled jobs whose tasks may still be on machines. */
  private readonly cancelledJobs = new Set<ObservedJob>();
  /**
   * For each job that still had tasks on machines when a response first reported it as cancelled,
   * the time of the response.
   */
  readonly cancelledWhileRunning: number[] = [];

  constructor(
    private readonly context: RuleContext,
    /**
     * Maximum time for which tasks may stay on machines after a response has reported their job as
     * cancelled, in milliseconds.
     */
    private readonly cancelMs: number,
  ) {}

  /**
   * Records that a response reports the job as cancelled. The first call must come before the job's
   * `cancelledAt` is set.
   */
  cancellationReported(job: ObservedJob): void {
    if (job.cancelledAt === null && job.tasksOnMachines > 0)
      this.cancelledWhileRunning.push(this.context.now());
    this.cancelledJobs.add(job);
  }

  /** Checks one job; call it when a task of the job starts. */
  check(job: ObservedJob): void {
    if (job.cancelledAt === null || this.context.now() <= job.cancelledAt + this.cancelMs) return;
    if (job.tasksOnMachines > 0)
      this.context.violated(
        'ran_cancelled',
        `${job.spec.id} has ${job.tasksOnMachines} tasks on machines more than ${this.cancelMs / 1000} s after it was reported as cancelled`,
      );
    else this.cancelledJobs.delete(job);
  }

  /** Checks all cancelled jobs; call it at regular intervals. */
  tick(): void {
    for (const job of this.cancelledJobs) this.check(job);
  }
}
