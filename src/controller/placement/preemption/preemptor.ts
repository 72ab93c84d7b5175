/** Preemption of tasks, limited to a share of all tasks per duration of a worker lease. */
import type { EventLoop } from '../../runtime/event-loop.js';
import type { Assignment, Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { Workers } from '../../workers/workers.js';

/** This many tasks may always be preempted within the duration of a worker lease, however few are assigned. */
const MIN_LIMIT = 4;

/** Stops tasks on their workers. */
export type TaskStopper = Pick<Workers, 'assignedCount' | 'stop' | 'stopJob'>;

/** Estimates the cost of preempting a task. */
export interface PreemptionCost {
  lostWorkMs(assignment: Assignment, now: number): number;
}

/**
 * Preempts tasks for jobs that take precedence, up to a share of all assigned tasks within the duration of a
 * worker lease.
 */
export class Preemptor {
  /** Number of tasks preempted in this term. */
  count = 0;
  /** Times of the preemptions less than the duration of a worker lease ago, on the monotonic clock in ms. */
  private recentTimes: number[] = [];
  /** When a warning of the reached limit was last logged, on the monotonic clock in ms. */
  private throttleLoggedAt = -Infinity;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'log' | 'now'>,
    private readonly settings: Pick<Settings, 'get' | 'workerLeaseMs'>,
    private readonly workers: TaskStopper,
    private readonly cost: PreemptionCost,
  ) {}

  /**
   * Preempts all of the victims and returns true; or preempts none and returns false if all of them would
   * exceed the limit.
   */
  preemptAll(victims: readonly Assignment[], preempting: Job): boolean {
    if (victims.length === 0) return true;
    const now = this.eventLoop.now();
    const { workerLeaseMs } = this.settings;
    this.recentTimes = this.recentTimes.filter((preemptedAt) => now - preemptedAt < workerLeaseMs);
    const share = this.settings.get('placement.preempt.share');
    const limit = Math.max(MIN_LIMIT, share * this.workers.assignedCount);
    if (this.recentTimes.length + victims.length > limit) {
      if (now - this.throttleLoggedAt > workerLeaseMs)
        this.logThrottled(victims, preempting, limit);
      return false;
    }
    for (const victim of victims) this.preempt(victim, preempting);
    return true;
  }

  private logThrottled(victims: readonly Assignment[], preempting: Job, limit: number): void {
    const now = this.eventLoop.now();
    this.throttleLoggedAt = now;
    const lostWorkMs = victims.reduce((sum, victim) => sum + this.cost.lostWorkMs(victim, now), 0);
    this.eventLoop.log.warn(
      {
        job: preempting.spec.id,
        team: preempting.spec.team,
        preemptedInLease: this.recentTimes.length,
        limit: Math.floor(limit),
        victims: victims.map((victim) => victim.jobId),
        lostTaskSeconds: Math.round(lostWorkMs / 1000),
      },
      'preemption throttled: the job keeps waiting; a higher placement.preempt.share raises the limit',
    );
  }

  private preempt(victim: Assignment, preempting: Job): void {
    if (victim.stop !== null || victim.phase === 'ended') return;
    const { job } = victim;
    if (job === null) return;
    job.preemptionCount++;
    preempting.preemptionClaimUntil = this.eventLoop.now() + this.settings.workerLeaseMs;
    this.count++;
    this.recentTimes.push(this.eventLoop.now());
    this.eventLoop.log.info(
      {
        job: victim.jobId,
        task: victim.task,
        machine: victim.machine.id,
        preemptingJob: preempting.spec.id,
      },
      'task preempted',
    );
    if (job.spec.kind === 'gang') this.workers.stopJob(job, victim.checkpointSaveS, 'preempted');
    else this.workers.stop(victim, victim.checkpointSaveS, 'preempted');
  }
}
