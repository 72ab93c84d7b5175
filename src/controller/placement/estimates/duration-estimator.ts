/** How long runs and image fetches take. */
import type { Assignment, Job, Machine } from '../../model/entities.js';
import { isMap } from '../../wire/cbor.js';
import type { JobSpec } from '../../wire/jobs.js';

/** Weight of the newest run in what is known of a class. */
const NEWEST_RUN_WEIGHT = 0.15;
/** A run counts as this many times its estimate at most, and as the inverse at least. */
const LARGEST_RATIO = 4;
/** Classes remembered; users name them, so they could be many. */
const MAX_CLASSES = 40;
/** Classes with longer names are not recorded. */
const MAX_NAME_LENGTH = 64;
/** How far owners are off, as the standard deviation of a logarithm, before anything is known: by half. */
const USUAL_ERROR = 0.5;
const LEAST_ERROR = 0.1;

/** How a class's runs compare with its owners' estimates, in logarithms. */
interface RunTimeStatistics {
  mean: number;
  variance: number;
}

/** The task may still be waiting for its image. */
function fetches(assignment: Assignment): assignment is Assignment & { job: Job } {
  return (
    assignment.job !== null &&
    assignment.phase !== 'ended' &&
    (assignment.state === null || assignment.state === 'fetching')
  );
}

/**
 * How long things take. Owners err by half, and on some days all one way, so their estimates are
 * corrected by what each class was seen to take, and trusted as far as it was seen to agree.
 */
export class DurationEstimator {
  private readonly statistics = new Map<string, RunTimeStatistics>();

  /** A task of the class has run for so long. */
  observe(spec: JobSpec, tookMs: number): void {
    if (spec.estimatedRunS <= 0 || tookMs <= 0) return;
    const ratio = tookMs / (spec.estimatedRunS * 1000);
    const bounded = Math.min(LARGEST_RATIO, Math.max(1 / LARGEST_RATIO, ratio));
    const { mean, variance } = this.statisticsOf(spec.class);
    const deviation = Math.log(bounded) - mean;
    this.statistics.delete(spec.class);
    this.statistics.set(spec.class, {
      mean: mean + NEWEST_RUN_WEIGHT * deviation,
      variance: (1 - NEWEST_RUN_WEIGHT) * (variance + NEWEST_RUN_WEIGHT * deviation ** 2),
    });
    if (this.statistics.size > MAX_CLASSES) {
      const oldest = this.statistics.keys().next();
      if (oldest.done !== true) this.statistics.delete(oldest.value);
    }
  }

  private statisticsOf(className: string): RunTimeStatistics {
    return this.statistics.get(className) ?? { mean: 0, variance: USUAL_ERROR ** 2 };
  }

  /** What has been learned, for the leader after this one. */
  exportStatistics(): Record<string, [number, number]> {
    const recorded = [...this.statistics].filter(
      ([className]) => className.length <= MAX_NAME_LENGTH,
    );
    return Object.fromEntries(
      recorded.map(([className, { mean, variance }]) => [className, [mean, variance]]),
    );
  }

  /** Takes over what an earlier leader has learned. */
  importStatistics(learned: unknown): void {
    if (!isMap(learned)) return;
    for (const [className, recorded] of Object.entries(learned)) {
      const [mean, variance] = Array.isArray(recorded) ? (recorded as unknown[]) : [];
      if (typeof mean === 'number' && typeof variance === 'number')
        this.statistics.set(className, { mean, variance });
    }
  }

  /** How long runs of the class take, as a ratio to their owners' estimates. */
  runTimeRatio(className: string): number {
    return Math.exp(this.statisticsOf(className).mean);
  }

  /** How long a task of the job should run; Infinity for a service. */
  runMs(spec: JobSpec): number {
    if (spec.kind === 'service') return Infinity;
    return spec.estimatedRunS * 1000 * this.runTimeRatio(spec.class);
  }

  /** How long a task that is put there now waits for its image. */
  fetchMs(spec: JobSpec, machine: Machine, now: number): number {
    if (machine.images.has(spec.image)) return 0;
    const rate = machine.type?.fetchGbPerS ?? 0;
    if (rate <= 0) return 0;
    // Images that are fetched at the same time share the rate; each delays by at most its own size.
    // A machine fetches an image once, so a task joins a fetch that is under way.
    let gb = spec.imageGb;
    let since = now;
    let others: Set<string> | null = null;
    for (const assignment of machine.assignments.values()) {
      if (!fetches(assignment)) continue;
      const other = assignment.job.spec;
      if (other.image === spec.image) since = Math.min(since, assignment.assignedAt);
      if (other.image === spec.image || machine.images.has(other.image)) continue;
      others ??= new Set();
      if (others.has(other.image)) continue;
      others.add(other.image);
      gb += Math.min(other.imageGb, spec.imageGb);
    }
    return Math.max(0, (gb / rate) * 1000 - (now - since));
  }

  /** Whether a task there would need a fetch of its own. */
  needsFetch(spec: JobSpec, machine: Machine): boolean {
    if (machine.images.has(spec.image)) return false;
    for (const assignment of machine.assignments.values())
      if (fetches(assignment) && assignment.job.spec.image === spec.image) return false;
    return true;
  }

  /** Until the task has left its machine by itself. */
  remainingMs(assignment: Assignment, now: number): number {
    if (assignment.stop !== null || assignment.job === null)
      return Math.max(
        500,
        assignment.checkpointSaveS * 1000 * Math.sign(assignment.stop?.graceS ?? 0),
      );
    const { spec } = assignment.job;
    if (assignment.runningAt === null && assignment.state !== 'running')
      return this.fetchMs(spec, assignment.machine, now) + this.runMs(spec);
    return this.leftMs(spec, now - (assignment.runningAt ?? assignment.assignedAt));
  }

  /**
   * What a run that has taken so long should take yet: the median of the rest where runs spread about
   * the estimate as a log-logistic distribution does. So a class whose owners err much is not taken to
   * be nearly done because its estimate says so, nor because it is over.
   */
  private leftMs(spec: JobSpec, elapsedMs: number): number {
    const runMs = this.runMs(spec);
    if (!Number.isFinite(runMs)) return runMs;
    if (runMs <= 0) return Math.max(1000, elapsedMs / 4);
    const error = Math.max(LEAST_ERROR, Math.sqrt(this.statisticsOf(spec.class).variance));
    const shape = Math.PI / (Math.sqrt(3) * error);
    const longest = (1 + 2 * (elapsedMs / runMs) ** shape) ** (1 / shape);
    return Number.isFinite(longest) ? runMs * longest - elapsedMs : elapsedMs / 4;
  }
}
