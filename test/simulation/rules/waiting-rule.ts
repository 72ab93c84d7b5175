/** The operators' rule that no job waits beside free capacity. */
import { hasCapacity, tasksStartedTogether } from './capacity.js';
import type { ObservedJob } from './observed-job.js';
import type { FreeCapacity } from './placement.js';
import type { RuleContext } from './rule-context.js';
import type { TeamUsage } from './team-usage.js';

/** Faults over, no job may wait longer than this while there is capacity for it. */
const MAX_WAITING_MS = 90_000;
/** And no service may lack a replica for longer. */
const MAX_REPLICA_MISSING_MS = 30_000;

/** Watches how long jobs wait though they could run. */
export class WaitingRule {
  constructor(
    private readonly context: RuleContext,
    private readonly usage: TeamUsage,
  ) {}

  /** Faults over, no job waits for long beside capacity for it, within its team's limits. */
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
      this.context.violated('left_waiting', `${spec.id} (${spec.kind} of ${spec.tasks})`);
  }

  private couldRun({ spec }: ObservedJob, free: readonly FreeCapacity[]): boolean {
    return this.usage.allows(spec, tasksStartedTogether(spec)) && hasCapacity(spec, free);
  }
}

/** Whether the job is active and has no task on a machine, or as a service not all of them. */
function isWaiting(job: ObservedJob): boolean {
  const { spec } = job;
  const active = job.accepted && !job.cancelRequested && job.completedTasks.size < spec.tasks;
  return active && job.tasksOnMachines < (spec.kind === 'service' ? spec.tasks : 1);
}
