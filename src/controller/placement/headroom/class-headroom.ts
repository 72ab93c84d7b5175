/** Headroom: free capacity that is kept for future jobs of classes with large tasks. */
import type { Job } from '../../model/entities.js';
import type { JobSpec } from '../../wire/jobs.js';
import { countClaimedSlots, dominantShare } from '../capacity/capacity-claim.js';
import type { ClusterCapacity } from '../capacity/cluster-capacity.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import { countFittingTasks, resourceRequestOf } from '../../model/resource-request.js';
import { mergeRecordedStatistics, writeStatistics } from './class-statistics-record.js';
import { ClassStatisticsTable, type ClassStatistics } from './class-statistics.js';

/** Settings that determine how much headroom is kept. */
export interface HeadroomSettings {
  /** Time constant in ms with which the counts of submitted tasks decay. */
  memoryMs: number;
  /**
   * The headroom and the tasks of a class together take at most this fraction of the slots on the machines that
   * the class may use.
   */
  maxShare: number;
  /** Margin added to the expected number of tasks, in standard deviations. */
  spareDeviations: number;
}

/**
 * Headroom of a class is kept only from smaller tasks. The dominant share of a task of the class must be at
 * least this many times the dominant share of the smaller task.
 */
const MIN_SIZE_RATIO = 1.5;

/**
 * Score of a spot machine for a class that allows spot machines. Cached images and free capacity score at
 * most 1 each.
 */
const SPOT_SCORE = 0.7;

/** Weight of the task size in the score of a machine. The size is the task's dominant share on the machine. */
const TASK_SIZE_WEIGHT = 0.5;

/** A class and the machines on which its tasks are allowed. */
interface ClassWithMachines {
  statistics: ClassStatistics;
  capacities: FreeCapacity[];
}

/** A machine with slots that are not used by tasks of the class. */
interface ScoredMachine {
  capacity: FreeCapacity;
  /** Slots of the machine that no task of the class uses, whether or not they are free. */
  unusedSlots: number;
  /** Machines with higher scores are claimed first. */
  score: number;
}

/** The slots for tasks of a class on the machines that it may use. A slot has the size of one task. */
interface ClassSlots {
  machines: ScoredMachine[];
  /** All slots of the machines, whether or not they are free. */
  total: number;
  /** Slots used by tasks of the class. */
  inUse: number;
}

/**
 * Keeps capacity free for gangs and for job arrays that need GPUs (segregation by shape; m03 §6, §9).
 * Without this headroom, small tasks would fragment the free capacity until no large task fits. How much is
 * kept for a class follows from the rate at which its jobs are submitted and from how long its tasks occupy
 * their machines. The headroom also covers the next job of the class.
 */
export class ClassHeadroom {
  private readonly statistics: ClassStatisticsTable;

  constructor(
    private readonly settings: HeadroomSettings,
    private readonly estimator: Pick<DurationEstimator, 'fetchMs' | 'runMs'>,
    now: number,
    /** Time in ms within which a job of the class should start; null if the platform sets no objective. */
    private readonly startObjectiveMs: (className: string) => number | null,
  ) {
    this.statistics = new ClassStatisticsTable(settings.memoryMs, estimator, now);
  }

  /** Adds an accepted job to the statistics of its class. */
  recordSubmission(job: Job, now: number): void {
    this.statistics.recordSubmission(job, now);
  }

  /** Adds a task that was on its machine for `occupancyMs` to the statistics of its class. */
  recordOccupancy(spec: JobSpec, occupancyMs: number): void {
    this.statistics.recordOccupancy(spec, occupancyMs);
  }

  /** Returns records of the most recently submitted classes for the next leader, by class name. */
  exportStatistics(now: number, wallClockMs: number): Map<string, unknown> {
    return writeStatistics(this.statistics, { now, wallClockMs });
  }

  /**
   * Restores the statistics that earlier leaders recorded. If a class has active jobs but no record, its
   * statistics start with the first of these jobs. A new leader without statistics would keep no headroom,
   * and small tasks would fill the machines that classes of large tasks need.
   */
  restore(
    recorded: Iterable<unknown>,
    activeJobs: Iterable<Job>,
    now: number,
    wallClockMs: number,
  ): void {
    const { statistics } = this;
    for (const value of recorded) mergeRecordedStatistics(statistics, value, { now, wallClockMs });
    for (const job of activeJobs)
      if (!statistics.has(job.spec.class)) statistics.recordSubmission(job, now);
  }

  /**
   * Claims the headroom of all classes on the machines of the pass.
   *
   * @param waitingClasses - names of the classes that have jobs waiting for capacity
   */
  claimHeadroom(cluster: ClusterCapacity, waitingClasses: Set<string>, now: number): void {
    this.statistics.removeStale(now);
    const classes = this.statistics
      .values()
      .filter(({ spec }) => qualifiesForHeadroom(spec))
      .map((statistics) => ({
        statistics,
        capacities: cluster.ofKindsAllowedFor(statistics.spec).flat(),
      }))
      .filter(({ capacities }) => capacities.length > 0)
      .sort(compareByMachinesAndPriority);
    for (const { statistics, capacities } of classes)
      this.claimForClass(statistics, capacities, waitingClasses, now);
  }

  private claimForClass(
    statistics: ClassStatistics,
    capacities: FreeCapacity[],
    waitingClasses: Set<string>,
    now: number,
  ): void {
    const { spec, level } = statistics;
    const slots = findSlots(statistics, capacities);
    let slotsToClaim = this.slotsToKeep(statistics, slots, now);
    if (slotsToClaim <= 0) return;
    slots.machines.sort((a, b) => b.score - a.score || a.capacity.index - b.capacity.index);
    const objectiveMs = waitingClasses.has(spec.class) ? null : this.startObjectiveMs(spec.class);
    for (const { capacity, unusedSlots } of slots.machines) {
      if (slotsToClaim <= 0) break;
      const count = Math.min(slotsToClaim, unusedSlots - countClaimedSlots(capacity.claims, spec));
      if (count <= 0) continue;
      slotsToClaim -= count;
      const fetchMs = this.estimator.fetchMs(spec, capacity.machine, now);
      const backfillWindowMs = objectiveMs === null ? 0 : Math.max(0, objectiveMs - fetchMs);
      capacity.claimHeadroom(count, now + backfillWindowMs, {
        spec,
        level,
        minSizeRatio: MIN_SIZE_RATIO,
      });
    }
  }

  /**
   * Returns how many slots to claim for a class, besides those that its tasks use. Claimed and used slots
   * together should cover the expected tasks, a margin and the largest recent job of the class, but must not
   * exceed the maximum share of the slots.
   */
  private slotsToKeep(statistics: ClassStatistics, slots: ClassSlots, now: number): number {
    const { maxShare, spareDeviations } = this.settings;
    const expected = this.statistics.expectedTasks(statistics, now);
    const targetSlots =
      expected + spareDeviations * Math.sqrt(expected) + Math.ceil(statistics.largestJobTasks);
    return Math.ceil(Math.min(targetSlots, slots.total * maxShare) - slots.inUse);
  }
}

/** Returns whether headroom is kept for the class: only for gangs and for job arrays that need GPUs. */
function qualifiesForHeadroom({ kind, gpus }: JobSpec): boolean {
  return kind === 'gang' || (kind === 'array' && gpus > 0);
}

/**
 * Puts classes with fewer allowed machines first. If the numbers of machines are equal, the class of higher
 * priority comes first.
 */
function compareByMachinesAndPriority(a: ClassWithMachines, b: ClassWithMachines): number {
  return a.capacities.length - b.capacities.length || b.statistics.level - a.statistics.level;
}

function findSlots(statistics: ClassStatistics, capacities: FreeCapacity[]): ClassSlots {
  const request = resourceRequestOf(statistics.spec);
  const slots: ClassSlots = { machines: [], total: 0, inUse: 0 };
  for (const capacity of capacities) {
    const { type, taskCountByClass } = capacity.machine;
    if (type === null || capacity.unschedulable) continue;
    const total = countFittingTasks(request, type.cpus, type.gpus, type.memoryGb);
    const inUse = taskCountByClass.get(statistics.spec.class) ?? 0;
    slots.total += total;
    slots.inUse += inUse;
    if (total > inUse)
      slots.machines.push({
        capacity,
        unusedSlots: total - inUse,
        score: scoreMachine(statistics, capacity),
      });
  }
  return slots;
}

/**
 * Scores how well the machine suits the class. The score is higher if the machine caches images of the class,
 * if a task fits now, and if it is a spot machine that the class may use. It also rises with the dominant
 * share of a task: a machine that one task mostly fills is less useful to other classes.
 */
function scoreMachine({ spec, images }: ClassStatistics, capacity: FreeCapacity): number {
  const { machine } = capacity;
  let cachedWeight = 0;
  let totalWeight = 0;
  for (const [image, weight] of images) {
    totalWeight += weight;
    if (machine.images.has(image)) cachedWeight += weight;
  }
  const cachedShare = totalWeight > 0 ? cachedWeight / totalWeight : 0;
  const freeScore = capacity.countFittingIgnoringClaims(resourceRequestOf(spec)) > 0 ? 1 : 0;
  const spotScore = spec.spot && machine.spot ? SPOT_SCORE : 0;
  return cachedShare + freeScore + spotScore + dominantShare(spec, machine.type) * TASK_SIZE_WEIGHT;
}
