/** When a job has to start at the latest to meet what is expected of it. */
import type { Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { DurationEstimator } from './duration-estimator.js';

/** Share of its estimate by which a run is allowed to take longer when its latest start is set. */
const RUN_MARGIN = 1.3;

/** The settings that latest starts follow from. */
export type StartDeadlineSettings = Pick<
  Settings,
  'objectivesFor' | 'guaranteeObjectiveMs' | 'heartbeatIntervalMs'
>;

/** Derives latest starts from the objectives of the platform and a job's due time. */
export class StartDeadlines {
  constructor(
    private readonly settings: StartDeadlineSettings,
    private readonly estimator: Pick<DurationEstimator, 'runMs'>,
  ) {}

  /**
   * Latest starts, as times since the job's submission and in no order: for its class's wait, its
   * team's guarantee, and each of its ends.
   */
  of(job: Job): number[] {
    const { spec } = job;
    // Estimates err; a start at the last moment would as likely as not be late.
    const run = this.estimator.runMs(spec) * RUN_MARGIN + this.settings.heartbeatIntervalMs;
    const { starts, ends } = this.settings.objectivesFor(spec.class, spec.deadlineS);
    const latest = starts.slice();
    const within = job.guaranteed ? this.settings.guaranteeObjectiveMs : null;
    if (within !== null) latest.push(within);
    for (const end of ends) latest.push(Math.max(0, end - run));
    return latest;
  }

  /** The next latest start that the job can still meet; `Infinity` if there is none. */
  next(job: Job, waitedMs: number): number {
    return Math.min(...this.of(job).filter((latest) => latest >= waitedMs));
  }
}
