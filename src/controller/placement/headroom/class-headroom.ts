/** Room kept ahead for classes of large tasks. */
import { priorityLevels } from '../../model/job.js';
import { type Job } from '../../model/entities.js';
import { isMap } from '../../wire/cbor.js';
import { readJobSpec, writeJobSpec, type JobSpec } from '../../wire/jobs.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import { resourceRequestOf, countFittingTasks } from '../../model/resource-request.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';
import type { ClusterCapacity } from '../capacity/cluster-capacity.js';

/** What has been seen of a class of jobs. */
interface ClassStatistics {
  spec: JobSpec;
  level: number;
  /** Decaying count of tasks submitted, and when it was last brought up to date. */
  weight: number;
  updatedAt: number;
  /** Tasks of the largest job seen lately, up to a bound. */
  largestJobTasks: number;
  images: Map<string, number>;
  /** Mean time from assignment to end; 0 until one has ended. */
  occupancyMs: number;
}

/** How much room is kept ahead. */
export interface HeadroomSettings {
  /** Time over which arrivals are remembered. */
  memoryMs: number;
  /** Largest share of the places a class could use that may be kept for it. */
  share: number;
  /** Places kept beyond the expected number, in standard deviations. */
  spare: number;
}

/** What counts of images and of sizes of jobs is less by this factor with each job. */
const JOB_DECAY = 0.95;

/** Weight of the newest stay in the mean. */
const NEWEST_OCCUPANCY_WEIGHT = 0.15;

/** Places kept for the tasks of one job that may come next. */
const MAX_LARGEST_JOB_TASKS = 4;

/** Weight at which a class is forgotten: several times the memory after its last job. */
const MIN_WEIGHT = 0.005;

/** Classes that are passed on; they have to fit one value. */
const MAX_EXPORTED = 12;

/** A class whose tasks are this much larger on a machine than another's is kept room against it. */
const MIN_SIZE_RATIO = 1.5;

/**
 * Segregation by shape (m03 §6, §9): classes of large tasks, and those that need GPUs, keep room
 * that small work would otherwise eat piece by piece. How much is kept follows from how often the
 * class comes and how long it stays; it is a hold in advance, for the gang that comes next.
 */
export class ClassHeadroom {
  private readonly classes = new Map<string, ClassStatistics>();
  private startedAt: number;

  constructor(
    private readonly settings: HeadroomSettings,
    private readonly estimator: DurationEstimator,
    now: number,
    /** Wait within which a class should start, by the platform's objectives. */
    private readonly waitMs: (className: string) => number | null,
  ) {
    this.startedAt = now;
  }

  /** A job has been accepted. */
  recordSubmission(job: Job, now: number): void {
    const { spec } = job;
    const stats = this.classes.get(spec.class);
    const images = stats?.images ?? new Map<string, number>();
    for (const [image, weight] of images) images.set(image, weight * JOB_DECAY);
    images.set(spec.image, (images.get(spec.image) ?? 0) + 1);
    this.classes.set(spec.class, {
      spec,
      level: job.level,
      weight: (stats === undefined ? 0 : this.decayed(stats, now)) + spec.tasks,
      updatedAt: now,
      largestJobTasks: Math.min(
        MAX_LARGEST_JOB_TASKS,
        Math.max(spec.tasks, (stats?.largestJobTasks ?? 1) * JOB_DECAY),
      ),
      images,
      occupancyMs: stats?.occupancyMs ?? 0,
    });
  }

  /** A task of the class has left its machine after this time. */
  recordOccupancy(spec: JobSpec, occupancyMs: number): void {
    const stats = this.classes.get(spec.class);
    if (stats === undefined) return;
    stats.occupancyMs =
      stats.occupancyMs === 0
        ? occupancyMs
        : stats.occupancyMs + NEWEST_OCCUPANCY_WEIGHT * (occupancyMs - stats.occupancyMs);
  }

  /** What has been seen of the classes that came last, by class, for the leader after this one. */
  exportStatistics(now: number, wall: number): Map<string, unknown> {
    const recent = [...this.classes.values()]
      .sort((a, b) => b.updatedAt - a.updatedAt)
      .slice(0, MAX_EXPORTED);
    const since = wall - (now - this.startedAt);
    return new Map(
      recent.map((stats) => [
        stats.spec.class,
        {
          since,
          classes: [
            {
              job: writeJobSpec(stats.spec),
              weight: stats.weight,
              at: wall - (now - stats.updatedAt),
              together: stats.largestJobTasks,
              images: Object.fromEntries(stats.images),
              stay: stats.occupancyMs,
            },
          ],
        },
      ]),
    );
  }

  /**
   * What the leaders before have left, and then the live jobs: of a class without a record the first
   * stands for what came before. A leader that comes without this would let small work flood the
   * room of large classes.
   */
  restore(recorded: Iterable<unknown>, live: Iterable<Job>, now: number, wall: number): void {
    for (const value of recorded) this.import(value, now, wall);
    for (const job of live) if (!this.classes.has(job.spec.class)) this.recordSubmission(job, now);
  }

  private import(value: unknown, now: number, wall: number): void {
    if (!isMap(value) || !Array.isArray(value['classes'])) return;
    const onClock = (at: unknown): number => now - Math.max(0, wall - Number(at));
    this.startedAt = Math.min(this.startedAt, onClock(value['since']));
    for (const record of value['classes'] as unknown[]) {
      if (!isMap(record) || !isMap(record['images'])) continue;
      try {
        const spec = readJobSpec(record['job']);
        // Versions have written this in different places: the newest counts.
        const updatedAt = onClock(record['at']);
        if (updatedAt < (this.classes.get(spec.class)?.updatedAt ?? -Infinity)) continue;
        this.classes.set(spec.class, {
          spec,
          level: priorityLevels[spec.priority],
          weight: Number(record['weight']),
          updatedAt,
          largestJobTasks: Number(record['together']),
          images: new Map(
            Object.entries(record['images']).map(([image, weight]) => [image, Number(weight)]),
          ),
          occupancyMs: Number(record['stay']),
        });
      } catch {
        // Of another version: it will be learned again.
      }
    }
  }

  private decayed(stats: ClassStatistics, now: number): number {
    return stats.weight * Math.exp((stats.updatedAt - now) / this.settings.memoryMs);
  }

  /** Tasks of the class expected at one time. */
  private expected(stats: ClassStatistics, now: number): number {
    const { memoryMs } = this.settings;
    const seenMs =
      memoryMs * (1 - Math.exp(-Math.max(now - this.startedAt, memoryMs / 4) / memoryMs));
    const stay = stats.occupancyMs > 0 ? stats.occupancyMs : this.estimator.runMs(stats.spec);
    return (this.decayed(stats, now) / seenMs) * stay;
  }

  /** Adds the claims of all classes to the rooms. */
  claimHeadroom(rooms: ClusterCapacity, waiting: Set<string>, now: number): void {
    // Classes are named by users: those long unseen are forgotten.
    for (const [name, stats] of this.classes)
      if (this.decayed(stats, now) < MIN_WEIGHT) this.classes.delete(name);
    const classes = [...this.classes.values()]
      .filter(
        (stats) =>
          stats.spec.kind === 'gang' || (stats.spec.kind === 'array' && stats.spec.gpus > 0),
      )
      .map((stats) => ({ stats, rooms: rooms.ofKindsAllowedFor(stats.spec).flat() }))
      .filter((choice) => choice.rooms.length > 0)
      // Who has the least choice chooses first.
      .sort((a, b) => a.rooms.length - b.rooms.length || b.stats.level - a.stats.level);
    for (const choice of classes) this.planClass(choice.stats, choice.rooms, waiting, now);
  }

  private planClass(
    stats: ClassStatistics,
    rooms: FreeCapacity[],
    waiting: Set<string>,
    now: number,
  ): void {
    const request = resourceRequestOf(stats.spec);
    const expected = this.expected(stats, now);
    let total = 0;
    let running = 0;
    const choices: { capacity: FreeCapacity; places: number; score: number }[] = [];
    for (const capacity of rooms) {
      const { type } = capacity.machine;
      if (type === null || capacity.unschedulable) continue;
      const all = countFittingTasks(request, type.cpus, type.gpus, type.memoryGb);
      const own = capacity.machine.taskCountByClass.get(stats.spec.class) ?? 0;
      total += all;
      running += own;
      if (all > own)
        choices.push({ capacity, places: all - own, score: this.score(stats, capacity) });
    }
    const wanted =
      expected + this.settings.spare * Math.sqrt(expected) + Math.ceil(stats.largestJobTasks);
    let left = Math.ceil(Math.min(wanted, total * this.settings.share) - running);
    if (left <= 0) return;
    choices.sort((a, b) => b.score - a.score || a.capacity.index - b.capacity.index);
    const wait = this.waitMs(stats.spec.class);
    for (const { capacity, places } of choices) {
      if (left <= 0) break;
      const taken = capacity.countClaimedSlots(stats.spec);
      const count = Math.min(left, places - taken);
      if (count <= 0) continue;
      left -= count;
      const fetch = this.estimator.fetchMs(stats.spec, capacity.machine, now);
      const patience =
        waiting.has(stats.spec.class) || wait === null ? 0 : Math.max(0, wait - fetch);
      const { spec, level } = stats;
      capacity.claimHeadroom(count, now + patience, { spec, level, minSizeRatio: MIN_SIZE_RATIO });
    }
  }

  /** Machines that suit the class best: its images there, free, and of little use to others. */
  private score(stats: ClassStatistics, capacity: FreeCapacity): number {
    let known = 0;
    let all = 0;
    for (const [image, weight] of stats.images) {
      all += weight;
      if (capacity.machine.images.has(image)) known += weight;
    }
    const warm = all > 0 ? known / all : 0;
    const free = capacity.countFittingIgnoringClaims(resourceRequestOf(stats.spec)) > 0 ? 1 : 0;
    const spot = stats.spec.spot && capacity.machine.spot ? 0.7 : 0;
    return warm + free + spot + capacity.dominantShare(stats.spec) * 0.5;
  }
}
