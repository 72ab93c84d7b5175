/** The operators' rule that no job waits for long while there is free capacity for it. */
import { hasCapacity, tasksStartedTogether } from './capacity.js';
import type { ObservedJob } from './observed-job.js';
import type { FreeCapacity } from './placement.js';
import type { RuleContext } from './rule-context.js';
import type { TeamUsage } from './team-usage.js';

/**
 * Maximum time for which a job may wait while there is capacity for it, once all faults have ended;
 * in milliseconds.
 */
const MAX_WAITING_MS = 90_000;
/**
 * Maximum time for which a service may lack a replica while there is capacity for it, once all
 * faults have ended; in milliseconds.
 */
const MAX_REPLICA_MISSING_MS = 30_000;

/** Measures how long jobs wait while there is free capacity for them. */
export class WaitingRule {
  constructor(
    private readonly context: RuleContext,
    private readonly usage: TeamUsage,
  ) {}

  /**
   * Reports the jobs that have waited too long while there was capacity for them within their
   * team's limits. Called at regular intervals once all faults have ended.
   */
  check(free: readonly FreeCapacity[]): void {
    for (const job of this.context.jobs.all()) this.checkJob(job, free);
  }

  private checkJob(job: ObservedJob, free: readonly FreeCapacity[]): void {
    const { spec } = job;
    const now = this.context.now();
    if (isWaiting(job) && this.couldRun(job, free)) job.runnableSince ??= now;
    else job.runnableSince = null;
    const maxMs = spec.kind === 'service' ? MAX_REPLICA_MISSING_MS : MAX_WAITING_MS;
    if (job.runnableSince !== null && now - job.runnableSince > maxMs)
      this.context.violated(
        'left_waiting',
        `${spec.id} (${spec.kind}, ${spec.tasks} tasks) waited for more than ${maxMs / 1000} s while there was capacity for it`,
      );
  }

  private couldRun({ spec }: ObservedJob, free: readonly FreeCapacity[]): boolean {
    return this.usage.allows(spec, tasksStartedTogether(spec)) && hasCapacity(spec, free);
  }
}

/**
 * Whether the job is active and waits. A service waits while it lacks a replica, any other job
 * while it has no task on a machine.
 */
function isWaiting(job: ObservedJob): boolean {
  const { spec } = job;
  const active = job.accepted && !job.cancelRequested && job.completedTasks.size < spec.tasks;
  return active && job.tasksOnMachines < (spec.kind === 'service' ? spec.tasks : 1);
}
