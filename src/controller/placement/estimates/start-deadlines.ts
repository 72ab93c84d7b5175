/** Start deadlines: the latest times at which a job can start and still meet its objectives. */
import type { Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { DurationEstimator } from './duration-estimator.js';

/** A start deadline leaves time for a run that takes this many times its estimate. */
const RUN_TIME_MARGIN_FACTOR = 1.3;

/** The settings that determine start deadlines. */
export type StartDeadlineSettings = Pick<
  Settings,
  'objectivesFor' | 'guaranteeObjectiveMs' | 'heartbeatIntervalMs'
>;

/** Derives start deadlines from the platform's objectives and a job's own deadline. */
export class StartDeadlines {
  constructor(
    private readonly settings: StartDeadlineSettings,
    private readonly estimator: Pick<DurationEstimator, 'runMs'>,
  ) {}

  /**
   * Returns the job's start deadlines, in ms since its submission and in no particular order: one for each
   * start objective of its class, one for its team's guarantee if the job is covered by it, and one for each
   * time by which the job should end.
   */
  of(job: Job): number[] {
    const { spec } = job;
    // Estimates are inexact: without a margin, about half of the jobs started at a deadline would end late.
    const runMs =
      this.estimator.runMs(spec) * RUN_TIME_MARGIN_FACTOR + this.settings.heartbeatIntervalMs;
    const { starts, ends } = this.settings.objectivesFor(spec.class, spec.deadlineS);
    const deadlines = starts.slice();
    const guaranteeMs = job.guaranteed ? this.settings.guaranteeObjectiveMs : null;
    if (guaranteeMs !== null) deadlines.push(guaranteeMs);
    for (const endObjectiveMs of ends) deadlines.push(Math.max(0, endObjectiveMs - runMs));
    return deadlines;
  }

  /**
   * Returns the next start deadline that the job can still meet; `Infinity` if there is none.
   *
   * @param waitedMs - time since the job was submitted
   */
  next(job: Job, waitedMs: number): number {
    return Math.min(...this.of(job).filter((deadline) => deadline >= waitedMs));
  }
}
