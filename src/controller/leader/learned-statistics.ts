/** Statistics of job classes. They are recorded so that the next leader can continue with them. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Job } from '../model/entities.js';
import { DurationEstimator } from '../placement/estimates/duration-estimator.js';
import { ClassHeadroom } from '../placement/headroom/class-headroom.js';
import type { Settings } from '../settings/settings.js';
import { storedSize } from '../store/page.js';
import type { RecordStore } from '../store/record-store.js';
import { isMap } from '../wire/cbor.js';

const LEARNED_KEY = 'learned';
/** The record of a class is only stored if it is smaller than this share of the state store's value limit. */
const MAX_VALUE_SHARE = 0.5;

/** Errors of the estimated run times, and arrivals of jobs, by job class. */
export class LearnedStatistics {
  readonly estimates = new DurationEstimator();
  readonly headroom: ClassHeadroom;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
  ) {
    const headroomSettings = {
      memoryMs: settings.workerLeaseMs * settings.get('placement.reserve.memory.ratio'),
      maxShare: settings.get('placement.reserve.share'),
      spareDeviations: settings.get('placement.reserve.spare'),
    };
    this.headroom = new ClassHeadroom(
      headroomSettings,
      this.estimates,
      eventLoop.now(),
      (className) => settings.startObjectiveMs(className),
    );
  }

  /** Counts a completed task of the job, which was assigned at `assignedAt` and ran for `runTimeMs`. */
  observeTaskEnd(job: Job, runTimeMs: number, assignedAt: number): void {
    this.estimates.observe(job.spec, runTimeMs);
    this.headroom.recordOccupancy(job.spec, this.eventLoop.now() - assignedAt);
  }

  /**
   * Loads the statistics that previous leaders recorded. If a class has active jobs but no recorded
   * arrivals, the first of these jobs is then counted as its first arrival. The order matters: a counted job
   * gives its class statistics as of now, and the older recorded ones would then be ignored.
   * @param activeJobs - all active jobs; they must have been read before
   */
  load(records: Pick<RecordStore, 'list'>, activeJobs: Iterable<Job>): void {
    const classRecords = [...records.list(LEARNED_KEY)].map(({ value }) => value).filter(isMap);
    for (const { ratios } of classRecords) this.estimates.importStatistics(ratios);
    const arrivals = classRecords.map((record) => record['arrivals']);
    this.headroom.restore(
      arrivals,
      activeJobs,
      this.eventLoop.now(),
      this.eventLoop.runtime.wallClock(),
    );
  }

  /**
   * Records the statistics, with one record per class because all classes together may exceed the state
   * store's value limit. Deletes the single record of all classes that older versions wrote. Older versions
   * can read the new records, because they read every key that begins with `learned`.
   */
  save(records: Pick<RecordStore, 'set'>): void {
    const ratios = this.estimates.exportStatistics();
    const arrivals = this.headroom.exportStatistics(
      this.eventLoop.now(),
      this.eventLoop.runtime.wallClock(),
    );
    const maxBytes = this.settings.maxValueBytes * MAX_VALUE_SHARE;
    for (const className of new Set([...Object.keys(ratios), ...arrivals.keys()])) {
      const ratio = ratios[className];
      const value = {
        ratios: ratio === undefined ? {} : { [className]: ratio },
        arrivals: arrivals.get(className) ?? null,
      };
      if (storedSize(value) < maxBytes)
        records.set(`${LEARNED_KEY}/${className}`, value, 'deferrable');
    }
    records.set(LEARNED_KEY, undefined, 'deferrable');
  }
}
