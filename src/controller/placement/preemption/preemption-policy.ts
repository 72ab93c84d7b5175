/** Policy of preemption: which tasks a job may preempt, in which order, and how much work is lost. */
import type { Assignment, Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import type { ExpectedEnd, MachineForecast } from '../capacity/machine-forecast.js';
import type { TeamUsage } from '../../workers/team-usage.js';

/**
 * A preempted task with checkpoints is assumed to lose a run time of at most this many times its checkpoint
 * save time.
 */
const MAX_LOST_SAVE_MULTIPLE = 2;

/** The rules of preemption (PROTOCOL, "Preemption"; m03 §7). */
export class PreemptionPolicy {
  constructor(
    private readonly settings: Pick<Settings, 'get' | 'heartbeatIntervalMs'>,
    private readonly estimator: Pick<DurationEstimator, 'fetchMs' | 'runMs'>,
    private readonly teamUsage: Pick<TeamUsage, 'borrows'>,
  ) {}

  /** Returns the latest assignment time at which a task is old enough to be preempted now. */
  latestEligibleStart(now: number): number {
    return now - this.settings.get('placement.victim.age.s') * 1000;
  }

  /** Returns whether the job might preempt any task in the forecast; a cheap check before `mayPreempt`. */
  mightPreempt(job: Job, forecast: MachineForecast): boolean {
    return forecast.lowestLevel < job.level || (job.guaranteed && forecast.hasUnguaranteed);
  }

  /**
   * Returns whether the job may preempt the task, either because of its higher priority or because it is
   * covered by its team's guarantee and the task runs on capacity borrowed by another team.
   */
  mayPreempt(job: Job, now: number, task: Assignment): boolean {
    const taskJob = task.job;
    if (taskJob === null || taskJob.gangRestarting || taskJob.terminalState !== null) return false;
    // A service needs all of its replicas, since a job cannot state that fewer are enough.
    if (taskJob.spec.kind === 'service') return false;
    if (now - task.assignedAt < this.settings.get('placement.victim.age.s') * 1000) return false;
    const isOtherTeam = task.team !== job.spec.team;
    // A job covered by its team's guarantee is never preempted for another team (m03 §7).
    if (taskJob.guaranteed && isOtherTeam) return false;
    if (taskJob.level < job.level) return true;
    return job.guaranteed && isOtherTeam && !taskJob.guaranteed && this.teamUsage.borrows(task);
  }

  /**
   * Sorts tasks in the order of preemption: tasks on borrowed capacity come before all others, and within
   * both groups the most recently assigned tasks come first (m03 §7).
   */
  sortVictims(ends: ExpectedEnd[]): void {
    ends.sort(
      ({ assignment: first }, { assignment: second }) =>
        Number(this.teamUsage.borrows(second)) - Number(this.teamUsage.borrows(first)) ||
        second.assignedAt - first.assignedAt,
    );
  }

  /**
   * Estimates the cost in ms of preempting a task: the run time lost since its last checkpoint, and the time
   * that it takes to start again.
   */
  lostWorkMs(task: Assignment, now: number): number {
    if (task.job === null || task.state === 'fetching' || task.state === null) return 0;
    const { spec } = task.job;
    const elapsedMs = now - (task.runningAt ?? task.assignedAt);
    const restartMs =
      this.settings.heartbeatIntervalMs + this.estimator.fetchMs(spec, task.machine, now);
    const lostMs =
      spec.checkpointIntervalS > 0
        ? Math.min(elapsedMs, spec.checkpointSaveS * MAX_LOST_SAVE_MULTIPLE * 1000)
        : elapsedMs;
    // A preempted gang must also wait for machines for all of its tasks again.
    return lostMs + restartMs + (spec.kind === 'gang' ? this.estimator.runMs(spec) : 0);
  }
}
