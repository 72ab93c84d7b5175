/** Start deadlines: when a job has to start at the latest to meet its objectives. */
import type { Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { DurationEstimator } from './duration-estimator.js';

/** A run is allowed to take this many times its estimate when its start deadline is set. */
const RUN_TIME_MARGIN_FACTOR = 1.3;

/** The settings that start deadlines follow from. */
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
   * The job's start deadlines, as times since its submission and in no order: for the start objective of
   * its class, its team's guarantee, and each time by which it should have ended.
   */
  of(job: Job): number[] {
    const { spec } = job;
    // Estimates err; a start at the last moment would as likely as not be late.
    const runMs =
      this.estimator.runMs(spec) * RUN_TIME_MARGIN_FACTOR + this.settings.heartbeatIntervalMs;
    const { starts, ends } = this.settings.objectivesFor(spec.class, spec.deadlineS);
    const deadlines = starts.slice();
    const guaranteeMs = job.guaranteed ? this.settings.guaranteeObjectiveMs : null;
    if (guaranteeMs !== null) deadlines.push(guaranteeMs);
    for (const endObjectiveMs of ends) deadlines.push(Math.max(0, endObjectiveMs - runMs));
    return deadlines;
  }

  /** The next start deadline that the job can still meet; `Infinity` if there is none. */
  next(job: Job, waitedMs: number): number {
    return Math.min(...this.of(job).filter((deadline) => deadline >= waitedMs));
  }
}
