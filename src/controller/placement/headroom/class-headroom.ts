/** Headroom: free capacity that is kept for classes of large tasks. */
import type { Job } from '../../model/entities.js';
import type { JobSpec } from '../../wire/jobs.js';
import { countClaimedSlots, dominantShare } from '../capacity/capacity-claim.js';
import type { ClusterCapacity } from '../capacity/cluster-capacity.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import { countFittingTasks, resourceRequestOf } from '../../model/resource-request.js';
import { mergeRecordedStatistics, writeStatistics } from './class-statistics-record.js';
import { ClassStatisticsTable, type ClassStatistics } from './class-statistics.js';

/** How much headroom is kept. */
export interface HeadroomSettings {
  /** Time over which arrivals are remembered. */
  memoryMs: number;
  /** Largest share of the slots that a class could use that may be kept for it. */
  maxShare: number;
  /** Slots kept beyond the expected number, in standard deviations. */
  spareDeviations: number;
}

/** Headroom of a class binds tasks than which its own are this much larger on the machine. */
const MIN_SIZE_RATIO = 1.5;

/** What speaks for a machine beside its images and its free capacity: spot, for a class that may use it. */
const SPOT_SCORE = 0.7;

/** Weight of the share of the machine that a task takes. */
const DOMINANT_SHARE_WEIGHT = 0.5;

/** A class, and the machines that its tasks may be on. */
interface ClassWithMachines {
  statistics: ClassStatistics;
  capacities: FreeCapacity[];
}

/** A machine that has slots for the class beside its tasks there. */
interface ScoredMachine {
  capacity: FreeCapacity;
  slots: number;
  /** Higher is better. */
  score: number;
}

/** The slots of a class. */
interface ClassSlots {
  machines: ScoredMachine[];
  /** Of all machines together. */
  total: number;
  /** Those in use by the class itself. */
  inUse: number;
}

/**
 * Segregation by shape (m03 §6, §9): classes of large tasks, and those that need GPUs, keep capacity
 * free that small work would otherwise eat piece by piece. How much is kept follows from how often the
 * class comes and how long its tasks stay; it is a reservation in advance for the gang that comes next.
 */
export class ClassHeadroom {
  private readonly statistics: ClassStatisticsTable;

  constructor(
    private readonly settings: HeadroomSettings,
    private readonly estimator: Pick<DurationEstimator, 'fetchMs' | 'runMs'>,
    now: number,
    /** Time within which a job of the class should start, by the platform's objectives. */
    private readonly startObjectiveMs: (className: string) => number | null,
  ) {
    this.statistics = new ClassStatisticsTable(settings.memoryMs, estimator, now);
  }

  /** Counts an accepted job. */
  recordSubmission(job: Job, now: number): void {
    this.statistics.recordSubmission(job, now);
  }

  /** Counts a task that has left its machine after `occupancyMs`. */
  recordOccupancy(spec: JobSpec, occupancyMs: number): void {
    this.statistics.recordOccupancy(spec, occupancyMs);
  }

  /** What has been observed of the classes that came last, by class, for the next leader. */
  exportStatistics(now: number, wallClockMs: number): Map<string, unknown> {
    return writeStatistics(this.statistics, { now, wallClockMs });
  }

  /**
   * Takes over what earlier leaders have recorded, and then the active jobs: of a class without a record
   * the first stands for what came before. A leader that began without this would let small work flood
   * the machines that large classes need.
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

  /** Claims the headroom of all classes. `waitingClasses`: those with jobs that found no capacity. */
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
    let unclaimedSlots = this.slotsToKeep(statistics, slots, now);
    if (unclaimedSlots <= 0) return;
    slots.machines.sort((a, b) => b.score - a.score || a.capacity.index - b.capacity.index);
    const objectiveMs = waitingClasses.has(spec.class) ? null : this.startObjectiveMs(spec.class);
    for (const { capacity, slots: unusedSlots } of slots.machines) {
      if (unclaimedSlots <= 0) break;
      const count = Math.min(
        unclaimedSlots,
        unusedSlots - countClaimedSlots(capacity.claims, spec),
      );
      if (count <= 0) continue;
      unclaimedSlots -= count;
      const fetchMs = this.estimator.fetchMs(spec, capacity.machine, now);
      const backfillWindowMs = objectiveMs === null ? 0 : Math.max(0, objectiveMs - fetchMs);
      capacity.claimHeadroom(count, now + backfillWindowMs, {
        spec,
        level,
        minSizeRatio: MIN_SIZE_RATIO,
      });
    }
  }

  /** How many slots to keep beside those in use: for the expected tasks, some spare, and a further job. */
  private slotsToKeep(statistics: ClassStatistics, slots: ClassSlots, now: number): number {
    const { maxShare, spareDeviations } = this.settings;
    const expected = this.statistics.expectedTasks(statistics, now);
    const targetSlots =
      expected + spareDeviations * Math.sqrt(expected) + Math.ceil(statistics.largestJobTasks);
    return Math.ceil(Math.min(targetSlots, slots.total * maxShare) - slots.inUse);
  }
}

/** Headroom is kept for gangs, and for job arrays that need GPUs. */
function qualifiesForHeadroom({ kind, gpus }: JobSpec): boolean {
  return kind === 'gang' || (kind === 'array' && gpus > 0);
}

/** Classes with the fewest machines to choose from choose first, then those of higher priority. */
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
        slots: total - inUse,
        score: scoreMachine(statistics, capacity),
      });
  }
  return slots;
}

/** Machines that suit the class best: its images there, free, and of little use to others. */
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
  return (
    cachedShare + freeScore + spotScore + dominantShare(spec, machine.type) * DOMINANT_SHARE_WEIGHT
  );
}
