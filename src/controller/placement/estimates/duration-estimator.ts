/** Estimates of how long runs and image fetches take. */
import type { Assignment, Job, Machine } from '../../model/entities.js';
import { isMap } from '../../wire/cbor.js';
import type { JobSpec } from '../../wire/jobs.js';

/** Weight of the newest run in the statistics of its class. */
const NEWEST_RUN_WEIGHT = 0.15;

/** A run counts as this many times its estimate at most, and as the inverse at least. */
const MAX_RUN_TIME_RATIO = 4;

/** Classes remembered; users name them, so there could be any number. */
const MAX_TRACKED_CLASSES = 40;

/** Classes with longer names are not recorded. */
const MAX_EXPORTED_NAME_LENGTH = 64;

/** Standard deviation of the logarithm of a run's ratio to its estimate, before anything is known. */
const PRIOR_DEVIATION = 0.5;

/** The least standard deviation that is counted with. */
const MIN_DEVIATION = 0.1;

/** The least time in which a task that is being stopped is taken to be gone. */
const MIN_STOP_MS = 500;

/** The least rest of a run that has no estimate, and its rest as a share of what it has taken. */
const MIN_REMAINING_RUN_MS = 1000;
const REMAINING_TO_ELAPSED_RATIO = 1 / 4;

/** Ratios of a class's runs to the estimates that came with the jobs, as logarithms. */
interface RunTimeStatistics {
  mean: number;
  variance: number;
}

/** Whether the task may still be waiting for its image. */
function mayBeFetching(assignment: Assignment): assignment is Assignment & { job: Job } {
  return (
    assignment.job !== null &&
    assignment.phase !== 'ended' &&
    (assignment.state === null || assignment.state === 'fetching')
  );
}

/**
 * Estimates durations. The run times that users give err by half, and at times all one way: so they are
 * corrected by what each class was observed to take, and trusted as far as its runs agreed with them.
 */
export class DurationEstimator {
  private readonly statistics = new Map<string, RunTimeStatistics>();

  /** Learns from a task that has run for `ranMs`. */
  observe(spec: JobSpec, ranMs: number): void {
    if (spec.estimatedRunS <= 0 || ranMs <= 0) return;
    const ratio = ranMs / (spec.estimatedRunS * 1000);
    const boundedRatio = Math.min(MAX_RUN_TIME_RATIO, Math.max(1 / MAX_RUN_TIME_RATIO, ratio));
    const { mean, variance } = this.statisticsOf(spec.class);
    const deviation = Math.log(boundedRatio) - mean;
    this.statistics.delete(spec.class);
    this.statistics.set(spec.class, {
      mean: mean + NEWEST_RUN_WEIGHT * deviation,
      variance: (1 - NEWEST_RUN_WEIGHT) * (variance + NEWEST_RUN_WEIGHT * deviation ** 2),
    });
    if (this.statistics.size > MAX_TRACKED_CLASSES) {
      const oldest = this.statistics.keys().next();
      if (oldest.done !== true) this.statistics.delete(oldest.value);
    }
  }

  private statisticsOf(className: string): RunTimeStatistics {
    return this.statistics.get(className) ?? { mean: 0, variance: PRIOR_DEVIATION ** 2 };
  }

  /** What has been learned, for the next leader: mean and variance by class. */
  exportStatistics(): Record<string, [number, number]> {
    const exportedClasses = [...this.statistics].filter(
      ([className]) => className.length <= MAX_EXPORTED_NAME_LENGTH,
    );
    return Object.fromEntries(
      exportedClasses.map(([className, { mean, variance }]) => [className, [mean, variance]]),
    );
  }

  /** Takes over what an earlier leader has learned; what is not of this form is skipped. */
  importStatistics(exported: unknown): void {
    if (!isMap(exported)) return;
    for (const [className, entry] of Object.entries(exported)) {
      const [mean, variance] = Array.isArray(entry) ? (entry as unknown[]) : [];
      if (typeof mean === 'number' && typeof variance === 'number')
        this.statistics.set(className, { mean, variance });
    }
  }

  /** How long a task of the job should run; `Infinity` for a service. */
  runMs(spec: JobSpec): number {
    if (spec.kind === 'service') return Infinity;
    return spec.estimatedRunS * 1000 * Math.exp(this.statisticsOf(spec.class).mean);
  }

  /** How long a task that is assigned to the machine now waits for its image. */
  fetchMs(spec: JobSpec, machine: Machine, now: number): number {
    if (machine.images.has(spec.image)) return 0;
    const gbPerS = machine.type?.fetchGbPerS ?? 0;
    if (gbPerS <= 0) return 0;
    // Images that are fetched at the same time share the rate; each delays by at most its own size.
    // A machine fetches an image once, so a task joins a fetch that is under way.
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

  /** Whether a task on the machine would need an image fetch of its own. */
  needsFetch(spec: JobSpec, machine: Machine): boolean {
    if (machine.images.has(spec.image)) return false;
    for (const assignment of machine.assignments.values())
      if (mayBeFetching(assignment) && assignment.job.spec.image === spec.image) return false;
    return true;
  }

  /** Time until the task should have left its machine by itself. */
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
   * How much longer a run should take after `elapsedMs`: the median of the rest, where run times have a
   * log-logistic distribution about the estimate. So a task of a class with unreliable estimates is not
   * taken to be nearly done because its estimate says so, nor because the estimate is over.
   */
  private remainingRunMs(spec: JobSpec, elapsedMs: number): number {
    const runMs = this.runMs(spec);
    if (!Number.isFinite(runMs)) return runMs;
    if (runMs <= 0) return Math.max(MIN_REMAINING_RUN_MS, elapsedMs * REMAINING_TO_ELAPSED_RATIO);
    const deviation = Math.max(MIN_DEVIATION, Math.sqrt(this.statisticsOf(spec.class).variance));
    const shape = Math.PI / (Math.sqrt(3) * deviation);
    const medianRatio = (1 + 2 * (elapsedMs / runMs) ** shape) ** (1 / shape);
    return Number.isFinite(medianRatio)
      ? runMs * medianRatio - elapsedMs
      : elapsedMs * REMAINING_TO_ELAPSED_RATIO;
  }
}
