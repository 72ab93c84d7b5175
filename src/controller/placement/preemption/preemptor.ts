/** Stopping of tasks for work that goes before them, and its limit. */
import type { EventLoop } from '../../runtime/event-loop.js';
import type { Assignment, Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { Workers } from '../../workers/workers.js';

/** Tasks that may be stopped within a lease whatever the share of all tasks is. */
const MIN_LIMIT = 4;

/** What stops tasks. */
export type TaskStopper = Pick<Workers, 'assignedCount' | 'stop' | 'stopJob'>;

/** Tells what stopping a task loses. */
export interface PreemptionCost {
  lostWorkMs(assignment: Assignment, now: number): number;
}

/** Stops tasks to make room for others, at most a share of all tasks within a lease. */
export class Preemptor {
  /** Tasks stopped to make room, in this term. */
  count = 0;
  /** When tasks were stopped to make room, over the last lease. */
  private recent: number[] = [];
  private throttledAt = -Infinity;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'log' | 'now'>,
    private readonly settings: Pick<Settings, 'get' | 'workerLeaseMs'>,
    private readonly workers: TaskStopper,
    private readonly cost: PreemptionCost,
  ) {}

  /** Stops all of the victims or, where that is too much at a time, none. */
  preemptAll(victims: readonly Assignment[], preemptor: Job): boolean {
    if (victims.length === 0) return true;
    const now = this.eventLoop.now();
    const { workerLeaseMs } = this.settings;
    this.recent = this.recent.filter((at) => now - at < workerLeaseMs);
    const share = this.settings.get('placement.preempt.share');
    const limit = Math.max(MIN_LIMIT, share * this.workers.assignedCount);
    if (this.recent.length + victims.length > limit) {
      if (now - this.throttledAt > workerLeaseMs) this.logThrottled(victims, preemptor, limit);
      return false;
    }
    for (const victim of victims) this.preempt(victim, preemptor);
    return true;
  }

  private logThrottled(victims: readonly Assignment[], preemptor: Job, limit: number): void {
    const now = this.eventLoop.now();
    this.throttledAt = now;
    const lostWorkMs = victims.reduce((sum, victim) => sum + this.cost.lostWorkMs(victim, now), 0);
    this.eventLoop.log.warn(
      {
        job: preemptor.spec.id,
        team: preemptor.spec.team,
        stopped: this.recent.length,
        most: Math.floor(limit),
        wouldStop: victims.map((victim) => victim.jobId),
        wouldLoseTaskSeconds: Math.round(lostWorkMs / 1000),
      },
      'preemption throttled: the job waits; raise placement.preempt.share to let it through',
    );
  }

  private preempt(victim: Assignment, preemptor: Job): void {
    if (victim.stop !== null || victim.phase === 'ended') return;
    const { job } = victim;
    if (job === null) return;
    job.preemptionCount++;
    preemptor.preemptionClaimUntil = this.eventLoop.now() + this.settings.workerLeaseMs;
    this.count++;
    this.recent.push(this.eventLoop.now());
    this.eventLoop.log.info(
      {
        job: victim.jobId,
        task: victim.task,
        machine: victim.machine.id,
        by: preemptor.spec.id,
      },
      'preempted',
    );
    if (job.spec.kind === 'gang') this.workers.stopJob(job, victim.checkpointSaveS, 'preempted');
    else this.workers.stop(victim, victim.checkpointSaveS, 'preempted');
  }
}
