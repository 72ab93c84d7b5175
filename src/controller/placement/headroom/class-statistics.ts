/** What a leader has observed of each class of jobs: how often it comes, and how long its tasks stay. */
import type { Job } from '../../model/entities.js';
import type { JobSpec } from '../../wire/jobs.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';

/** What has been observed of one class. */
export interface ClassStatistics {
  /** The latest job of the class. */
  spec: JobSpec;
  /** Priority level of the latest job. */
  level: number;
  /** Exponentially decaying count of the tasks submitted, as of `updatedAt`. */
  weight: number;
  updatedAt: number;
  /** Decaying maximum of the tasks of one job, up to `MAX_LARGEST_JOB_TASKS`. */
  largestJobTasks: number;
  /** Decaying counts of jobs by image. */
  images: Map<string, number>;
  /** Mean time from assignment to end of a task; 0 until one has ended. */
  occupancyMs: number;
}

/** Factor by which each job of a class lessens the counts of images and the largest job so far. */
const JOB_DECAY = 0.95;

/** Weight of the newest occupancy in the mean. */
const NEWEST_OCCUPANCY_WEIGHT = 0.15;

/** Headroom is kept for this many tasks of the next job at most. */
const MAX_LARGEST_JOB_TASKS = 4;

/** Weight at which a class is forgotten: several times the memory after its last job. */
const MIN_WEIGHT = 0.005;

/** Least time of observation that arrival rates count with, as a share of the memory. */
const MIN_OBSERVED_SHARE = 1 / 4;

/** The statistics of all classes that have been submitted lately. */
export class ClassStatisticsTable {
  private readonly classes = new Map<string, ClassStatistics>();

  constructor(
    /** Time constant with which arrivals are forgotten. */
    private readonly memoryMs: number,
    private readonly estimator: Pick<DurationEstimator, 'runMs'>,
    /** Since when classes are observed, by this leader or those before. */
    private observedSince: number,
  ) {}

  /** Counts an accepted job. */
  recordSubmission(job: Job, now: number): void {
    const { spec } = job;
    const existing = this.classes.get(spec.class);
    const images = existing?.images ?? new Map<string, number>();
    for (const [image, weight] of images) images.set(image, weight * JOB_DECAY);
    images.set(spec.image, (images.get(spec.image) ?? 0) + 1);
    const largest = Math.max(spec.tasks, (existing?.largestJobTasks ?? 1) * JOB_DECAY);
    this.classes.set(spec.class, {
      spec,
      level: job.level,
      weight: (existing === undefined ? 0 : this.weightAt(existing, now)) + spec.tasks,
      updatedAt: now,
      largestJobTasks: Math.min(MAX_LARGEST_JOB_TASKS, largest),
      images,
      occupancyMs: existing?.occupancyMs ?? 0,
    });
  }

  /** Counts a task that has left its machine after `occupancyMs`. */
  recordOccupancy(spec: JobSpec, occupancyMs: number): void {
    const existing = this.classes.get(spec.class);
    if (existing === undefined) return;
    existing.occupancyMs =
      existing.occupancyMs === 0
        ? occupancyMs
        : existing.occupancyMs + NEWEST_OCCUPANCY_WEIGHT * (occupancyMs - existing.occupancyMs);
  }

  /** Whether anything has been observed of the class. */
  has(className: string): boolean {
    return this.classes.has(className);
  }

  /** Takes over what was observed since `observedSince`, unless something newer is known of the class. */
  merge(statistics: ClassStatistics): void {
    const { spec, updatedAt } = statistics;
    if (updatedAt < (this.classes.get(spec.class)?.updatedAt ?? -Infinity)) return;
    this.classes.set(spec.class, statistics);
  }

  /** An earlier leader has observed classes since then. */
  extendObservation(since: number): void {
    this.observedSince = Math.min(this.observedSince, since);
  }

  /** How long classes have been observed. */
  observedMs(now: number): number {
    return now - this.observedSince;
  }

  /** The statistics of all classes, in the order in which the classes were first seen. */
  values(): ClassStatistics[] {
    return [...this.classes.values()];
  }

  /** Forgets classes that have not come for long: users name them, so there could be any number. */
  removeStale(now: number): void {
    for (const [className, statistics] of this.classes)
      if (this.weightAt(statistics, now) < MIN_WEIGHT) this.classes.delete(className);
  }

  /**
   * Tasks of the class that are expected to be on machines at one time, by Little's law: their arrival
   * rate times how long each stays.
   */
  expectedTasks(statistics: ClassStatistics, now: number): number {
    const { memoryMs } = this;
    const observedMs = Math.max(this.observedMs(now), memoryMs * MIN_OBSERVED_SHARE);
    const effectiveMs = memoryMs * (1 - Math.exp(-observedMs / memoryMs));
    const { occupancyMs, spec } = statistics;
    const meanOccupancyMs = occupancyMs > 0 ? occupancyMs : this.estimator.runMs(spec);
    return (this.weightAt(statistics, now) / effectiveMs) * meanOccupancyMs;
  }

  private weightAt({ weight, updatedAt }: ClassStatistics, now: number): number {
    return weight * Math.exp((updatedAt - now) / this.memoryMs);
  }
}
