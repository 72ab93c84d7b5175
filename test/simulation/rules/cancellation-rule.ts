/** The rule that cancelled jobs leave their machines in time. */
import type { ObservedJob } from './observed-job.js';
import type { RuleContext } from './rule-context.js';

/** Watches cancelled jobs until none of their tasks is on a machine. */
export class CancellationRule {
  /** Cancelled jobs of which tasks may still be on machines. */
  private readonly cancelledJobs = new Set<ObservedJob>();
  /** When users were told of the cancellation of jobs that had tasks on machines. */
  readonly cancelledWhileRunning: number[] = [];

  constructor(
    private readonly context: RuleContext,
    /** How long tasks of a cancelled job may still be on machines, in milliseconds. */
    private readonly cancelMs: number,
  ) {}

  /** A user is told that the job is cancelled, for the first time while `cancelledAt` is null. */
  cancellationReported(job: ObservedJob): void {
    if (job.cancelledAt === null && job.tasksOnMachines > 0)
      this.cancelledWhileRunning.push(this.context.now());
    this.cancelledJobs.add(job);
  }

  /** To be called as a task of the job starts. */
  check(job: ObservedJob): void {
    if (job.cancelledAt === null || this.context.now() <= job.cancelledAt + this.cancelMs) return;
    if (job.tasksOnMachines > 0) this.context.violated('ran_cancelled', job.spec.id);
    else this.cancelledJobs.delete(job);
  }

  /** To be called as time passes. */
  tick(): void {
    for (const job of this.cancelledJobs) this.check(job);
  }
}
