/** Which tasks may be preempted for a job, in which order, and what that loses. */
import type { Assignment, Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import type { ExpectedEnd, MachineForecast } from '../capacity/machine-forecast.js';
import type { TeamUsage } from '../../workers/team-usage.js';

/** Most that a task with checkpoints loses, as a multiple of the time of a save. */
const MAX_LOST_SAVE_MULTIPLE = 2;

/** The rules of preemption (PROTOCOL, "Preemption"; m03 §7). */
export class PreemptionPolicy {
  constructor(
    private readonly settings: Pick<Settings, 'get' | 'heartbeatIntervalMs'>,
    private readonly estimator: Pick<DurationEstimator, 'fetchMs' | 'runMs'>,
    private readonly teamUsage: Pick<TeamUsage, 'borrows'>,
  ) {}

  /** Tasks assigned later than this are too young to be preempted. */
  latestEligibleStart(now: number): number {
    return now - this.settings.get('placement.victim.age.s') * 1000;
  }

  /** Whether any task of a machine might be preempted for the job. Cheap: it is asked first. */
  mightPreempt(job: Job, forecast: MachineForecast): boolean {
    return forecast.lowestLevel < job.level || (job.guaranteed && forecast.hasUnguaranteed);
  }

  /** Whether the job may preempt the task: by its priority, or by its guarantee against borrowed capacity. */
  mayPreempt(job: Job, now: number, task: Assignment): boolean {
    const owner = task.job;
    if (owner === null || owner.gangRestarting || owner.terminalState !== null) return false;
    // All replicas of a service are needed: nothing says otherwise.
    if (owner.spec.kind === 'service') return false;
    if (now - task.assignedAt < this.settings.get('placement.victim.age.s') * 1000) return false;
    const isOtherTeam = task.team !== job.spec.team;
    // Work inside its team's guarantee never yields to another team (m03 §7).
    if (owner.guaranteed && isOtherTeam) return false;
    if (owner.level < job.level) return true;
    return job.guaranteed && isOtherTeam && !owner.guaranteed && this.teamUsage.borrows(task);
  }

  /** Puts those to preempt first first: on borrowed capacity before others, then the newest (m03 §7). */
  sortVictims(ends: ExpectedEnd[]): void {
    ends.sort(
      ({ assignment: first }, { assignment: second }) =>
        Number(this.teamUsage.borrows(second)) - Number(this.teamUsage.borrows(first)) ||
        second.assignedAt - first.assignedAt,
    );
  }

  /** What preempting a task costs: its run since the last checkpoint, and starting it again. */
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
    // A gang has to find its places once more.
    return lostMs + restartMs + (spec.kind === 'gang' ? this.estimator.runMs(spec) : 0);
  }
}
