/** Statistics of job classes: how often jobs are submitted, and how long tasks occupy their machines. */
import { exp } from '../../runtime/elementary-functions.js';
import type { Job } from '../../model/entities.js';
import type { JobSpec } from '../../wire/jobs.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';

/** The statistics of one class. */
export interface ClassStatistics {
  /** The latest job of the class. */
  spec: JobSpec;
  /** Priority level of the latest job. */
  level: number;
  /** Exponentially decaying count of the submitted tasks, as it was when the latest job was submitted. */
  weight: number;
  /** When the latest job was submitted, on the controller's monotonic clock in ms. */
  updatedAt: number;
  /**
   * Decaying maximum of the number of tasks in one job, limited to `MAX_LARGEST_JOB_TASKS`. Headroom for the
   * next job of the class covers this many tasks.
   */
  largestJobTasks: number;
  /** Decaying number of jobs, by image. */
  images: Map<string, number>;
  /** Moving average of the time in ms from the assignment to the end of a task; 0 until a task has ended. */
  occupancyMs: number;
}

/** Each new job multiplies the image counts and the largest job size of its class by this factor. */
const JOB_DECAY = 0.95;

/** Weight of the newest task in the moving average of occupancy times. */
const NEWEST_OCCUPANCY_WEIGHT = 0.15;

/** Headroom for the next job of a class covers at most this many tasks. */
const MAX_LARGEST_JOB_TASKS = 4;

/**
 * A class is removed when its decaying count of submitted tasks falls below this value. That happens several
 * decay time constants after the last job of the class.
 */
const MIN_WEIGHT = 0.005;

/** Minimum observation time used for arrival rates, as a fraction of the decay time constant. */
const MIN_OBSERVED_SHARE = 1 / 4;

/** The statistics of all recently submitted classes. */
export class ClassStatisticsTable {
  private readonly classes = new Map<string, ClassStatistics>();

  constructor(
    /** Time constant in ms with which the counts of submitted tasks decay. */
    private readonly memoryMs: number,
    private readonly estimator: Pick<DurationEstimator, 'runMs'>,
    /**
     * Since when this leader or its predecessors have observed submissions, on the controller's monotonic
     * clock in ms.
     */
    private observedSince: number,
  ) {}

  /** Adds an accepted job to the statistics of its class. */
  recordSubmission(job: Job, now: number): void {
    const { spec } = job;
    const existing = this.classes.get(spec.class);
    const images = existing?.images ?? new Map<string, number>();
    for (const [image, weight] of images) images.set(image, weight * JOB_DECAY);
    images.set(spec.image, (images.get(spec.image) ?? 0) + 1);
    const largestTasks = Math.max(spec.tasks, (existing?.largestJobTasks ?? 1) * JOB_DECAY);
    this.classes.set(spec.class, {
      spec,
      level: job.level,
      weight: (existing === undefined ? 0 : this.weightAt(existing, now)) + spec.tasks,
      updatedAt: now,
      largestJobTasks: Math.min(MAX_LARGEST_JOB_TASKS, largestTasks),
      images,
      occupancyMs: existing?.occupancyMs ?? 0,
    });
  }

  /** Adds a task that was on its machine for `occupancyMs` to the statistics of its class. */
  recordOccupancy(spec: JobSpec, occupancyMs: number): void {
    const existing = this.classes.get(spec.class);
    if (existing === undefined) return;
    existing.occupancyMs =
      existing.occupancyMs === 0
        ? occupancyMs
        : existing.occupancyMs + NEWEST_OCCUPANCY_WEIGHT * (occupancyMs - existing.occupancyMs);
  }

  /** Whether the table has statistics of the class. */
  has(className: string): boolean {
    return this.classes.has(className);
  }

  /** Adds the statistics of a class from a record, unless the table has newer ones of the class. */
  merge(statistics: ClassStatistics): void {
    const { spec, updatedAt } = statistics;
    if (updatedAt < (this.classes.get(spec.class)?.updatedAt ?? -Infinity)) return;
    this.classes.set(spec.class, statistics);
  }

  /** Extends the observation period back to `since`, when an earlier leader began to observe submissions. */
  extendObservation(since: number): void {
    this.observedSince = Math.min(this.observedSince, since);
  }

  /** Time in ms for which submissions have been observed. */
  observedMs(now: number): number {
    return now - this.observedSince;
  }

  /** The statistics of all classes, in the order in which the classes were added to the table. */
  values(): ClassStatistics[] {
    return [...this.classes.values()];
  }

  /** Removes classes without recent jobs. Users choose class names, so the table could grow without limit. */
  removeStale(now: number): void {
    for (const [className, statistics] of this.classes)
      if (this.weightAt(statistics, now) < MIN_WEIGHT) this.classes.delete(className);
  }

  /**
   * Returns the expected number of tasks of the class that occupy machines at one time, by Little's law: the
   * arrival rate of tasks times the mean time that a task occupies its machine.
   */
  expectedTasks(statistics: ClassStatistics, now: number): number {
    const { memoryMs } = this;
    const observedMs = Math.max(this.observedMs(now), memoryMs * MIN_OBSERVED_SHARE);
    const effectiveMs = memoryMs * (1 - exp(-observedMs / memoryMs));
    const { occupancyMs, spec } = statistics;
    const meanOccupancyMs = occupancyMs > 0 ? occupancyMs : this.estimator.runMs(spec);
    return (this.weightAt(statistics, now) / effectiveMs) * meanOccupancyMs;
  }

  private weightAt({ weight, updatedAt }: ClassStatistics, now: number): number {
    return weight * exp((updatedAt - now) / this.memoryMs);
  }
}
