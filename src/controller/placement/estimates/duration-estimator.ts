/** Estimates of how long runs and image fetches take. */
import { exp, log, pow } from '../../runtime/elementary-functions.js';
import type { Assignment, Job, Machine } from '../../model/entities.js';
import { isMap } from '../../wire/cbor.js';
import type { JobSpec } from '../../wire/jobs.js';

/** Weight of the newest run in the moving averages of its class. */
const NEWEST_RUN_WEIGHT = 0.15;

/**
 * Observed ratios of actual to estimated run time are limited to this value; their lower limit is its
 * inverse.
 */
const MAX_RUN_TIME_RATIO = 4;

/** Maximum number of classes with statistics. Users choose class names, so there could be any number. */
const MAX_TRACKED_CLASSES = 40;

/** Statistics of a class are exported only if its name has at most this many characters. */
const MAX_EXPORTED_NAME_LENGTH = 64;

/** Assumed standard deviation of log(actual run time / estimated run time), for a class without observed runs. */
const PRIOR_DEVIATION = 0.5;

/** Estimates use at least this value as the standard deviation of log(actual run time / estimated run time). */
const MIN_DEVIATION = 0.1;

/** Lower bound in ms of the estimated time until a task that is being stopped has ended. */
const MIN_STOP_MS = 500;

/** Lower bound in ms of the remaining run time of a task whose job has no run time estimate. */
const MIN_REMAINING_RUN_MS = 1000;

/**
 * Assumed ratio of remaining to elapsed run time. It is used if the job has no run time estimate, or if the
 * computation of the median remaining run time overflows.
 */
const REMAINING_TO_ELAPSED_RATIO = 1 / 4;

/** Mean and variance of log(actual run time / estimated run time), for one class. */
interface RunTimeStatistics {
  mean: number;
  variance: number;
}

/** Returns whether the worker may still be fetching the image of the task. */
function mayBeFetching(assignment: Assignment): assignment is Assignment & { job: Job } {
  return (
    assignment.job !== null &&
    assignment.phase !== 'ended' &&
    (assignment.state === null || assignment.state === 'fetching')
  );
}

/**
 * Estimates run times and image fetch times. The run time estimates of users are often wrong by half, and
 * sometimes all in the same direction. They are therefore corrected by the mean ratio observed for the
 * class, and their uncertainty follows from how closely the runs of the class agreed with their estimates.
 */
export class DurationEstimator {
  private readonly statistics = new Map<string, RunTimeStatistics>();

  /** Adds a task that has run for `ranMs` to the statistics of its class. */
  observe(spec: JobSpec, ranMs: number): void {
    if (spec.estimatedRunS <= 0 || ranMs <= 0) return;
    const ratio = ranMs / (spec.estimatedRunS * 1000);
    const boundedRatio = Math.min(MAX_RUN_TIME_RATIO, Math.max(1 / MAX_RUN_TIME_RATIO, ratio));
    const { mean, variance } = this.statisticsOf(spec.class);
    const deviation = log(boundedRatio) - mean;
    this.statistics.delete(spec.class);
    this.statistics.set(spec.class, {
      mean: mean + NEWEST_RUN_WEIGHT * deviation,
      variance: (1 - NEWEST_RUN_WEIGHT) * (variance + NEWEST_RUN_WEIGHT * (deviation * deviation)),
    });
    if (this.statistics.size > MAX_TRACKED_CLASSES) {
      const oldest = this.statistics.keys().next();
      if (oldest.done !== true) this.statistics.delete(oldest.value);
    }
  }

  private statisticsOf(className: string): RunTimeStatistics {
    return (
      this.statistics.get(className) ?? { mean: 0, variance: PRIOR_DEVIATION * PRIOR_DEVIATION }
    );
  }

  /** Returns mean and variance by class name, to be stored for the next leader. */
  exportStatistics(): Record<string, [number, number]> {
    const exportedClasses = [...this.statistics].filter(
      ([className]) => className.length <= MAX_EXPORTED_NAME_LENGTH,
    );
    return Object.fromEntries(
      exportedClasses.map(([className, { mean, variance }]) => [className, [mean, variance]]),
    );
  }

  /** Restores the statistics that an earlier leader exported; malformed entries are skipped. */
  importStatistics(exported: unknown): void {
    if (!isMap(exported)) return;
    for (const [className, entry] of Object.entries(exported)) {
      const [mean, variance] = Array.isArray(entry) ? (entry as unknown[]) : [];
      if (typeof mean === 'number' && typeof variance === 'number')
        this.statistics.set(className, { mean, variance });
    }
  }

  /** Returns the estimated run time in ms of a task of the job; `Infinity` for a service. */
  runMs(spec: JobSpec): number {
    if (spec.kind === 'service') return Infinity;
    return spec.estimatedRunS * 1000 * exp(this.statisticsOf(spec.class).mean);
  }

  /** Returns the time in ms that a task assigned to the machine now would wait for its image. */
  fetchMs(spec: JobSpec, machine: Machine, now: number): number {
    if (machine.images.has(spec.image)) return 0;
    const gbPerS = machine.type?.fetchGbPerS ?? 0;
    if (gbPerS <= 0) return 0;
    // Images that are fetched at the same time are assumed to share the fetch rate equally. While this image is
    // fetched, at most as much of each other image is fetched as of this one, and never more than the other
    // image's size. The smaller of the two sizes is therefore added to the amount fetched until this image is
    // complete. A machine fetches an image only once, so a task waits for a fetch that is already in progress.
    let fetchGb = spec.imageGb;
    let fetchStartedAt = now;
    let otherImages: Set<string> | null = null;
    for (const assignment of machine.assignments.values()) {
      if (!mayBeFetching(assignment)) continue;
      const otherSpec = assignment.job.spec;
      if (otherSpec.image === spec.image)
        fetchStartedAt = Math.min(fetchStartedAt, assignment.assignedAt);
      if (otherSpec.image === spec.image || machine.images.has(otherSpec.image)) continue;
      otherImages ??= new Set();
      if (otherImages.has(otherSpec.image)) continue;
      otherImages.add(otherSpec.image);
      fetchGb += Math.min(otherSpec.imageGb, spec.imageGb);
    }
    return Math.max(0, (fetchGb / gbPerS) * 1000 - (now - fetchStartedAt));
  }

  /** Returns whether the image of the task is neither cached on the machine nor being fetched by it. */
  needsFetch(spec: JobSpec, machine: Machine): boolean {
    if (machine.images.has(spec.image)) return false;
    for (const assignment of machine.assignments.values())
      if (mayBeFetching(assignment) && assignment.job.spec.image === spec.image) return false;
    return true;
  }

  /** Returns the estimated time in ms until the task ends if it is not preempted. */
  remainingMs(assignment: Assignment, now: number): number {
    if (assignment.stop !== null || assignment.job === null)
      return Math.max(
        MIN_STOP_MS,
        assignment.checkpointSaveS * 1000 * Math.sign(assignment.stop?.graceS ?? 0),
      );
    const { spec } = assignment.job;
    if (assignment.runningAt === null && assignment.state !== 'running')
      return this.fetchMs(spec, assignment.machine, now) + this.runMs(spec);
    return this.remainingRunMs(spec, now - (assignment.runningAt ?? assignment.assignedAt));
  }

  /**
   * Returns the median of the remaining run time after `elapsedMs`, for run times with a log-logistic
   * distribution around the estimate. A task of a class with unreliable estimates is therefore not assumed
   * to end soon merely because its estimated run time is almost over or has passed.
   */
  private remainingRunMs(spec: JobSpec, elapsedMs: number): number {
    const runMs = this.runMs(spec);
    if (!Number.isFinite(runMs)) return runMs;
    if (runMs <= 0) return Math.max(MIN_REMAINING_RUN_MS, elapsedMs * REMAINING_TO_ELAPSED_RATIO);
    const deviation = Math.max(MIN_DEVIATION, Math.sqrt(this.statisticsOf(spec.class).variance));
    const shape = Math.PI / (Math.sqrt(3) * deviation);
    const medianRatio = pow(1 + 2 * pow(elapsedMs / runMs, shape), 1 / shape);
    return Number.isFinite(medianRatio)
      ? runMs * medianRatio - elapsedMs
      : elapsedMs * REMAINING_TO_ELAPSED_RATIO;
  }
}
