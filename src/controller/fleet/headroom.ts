/**
 * Headroom: pre-provisions free capacity for some more tasks of each job class that has had unfinished jobs
 * recently.
 */
import { isAllowed } from '../placement/capacity/machine-kind.js';
import { resourceRequestOf, countFittingTasks } from '../model/resource-request.js';
import type { JobSpec } from '../wire/jobs.js';
import type { Machine } from '../model/entities.js';
import type { CapacityDemand } from './scale-out-plan.js';

/** How much free capacity is kept for each job class, and for how long after its last job. */
export interface HeadroomSettings {
  /**
   * Number of tasks to keep capacity for, as a ratio to the class's running tasks. Capacity is kept for at
   * least one task. A ratio of 0 turns headroom off.
   */
  ratio: number;
  /** A class is forgotten this long after it last had an unfinished job. */
  retentionMs: number;
}

interface ObservedClass {
  spec: JobSpec;
  observedAt: number;
}

/** Returns how many tasks of the job fit in the machine's free capacity. */
function countFittingOnMachine(spec: JobSpec, machine: Machine): number {
  const { type, zone, spot } = machine;
  if (type === null || !isAllowed(spec, { type, zone, spot })) return 0;
  return countFittingTasks(
    resourceRequestOf(spec),
    type.cpus - machine.cpus,
    type.gpus - machine.gpus,
    type.memoryGb - machine.memoryGb,
  );
}

/** Returns how many tasks of the job fit on all machines together; stops counting at `limit`. */
function countFittingOnAll(spec: JobSpec, machines: readonly Machine[], limit: number): number {
  let fittingTotal = 0;
  for (const machine of machines) {
    fittingTotal += countFittingOnMachine(spec, machine);
    if (fittingTotal >= limit) break;
  }
  return fittingTotal;
}

/** Remembers job classes and computes the demand for capacity ahead of their next jobs. */
export class Headroom {
  private readonly classes = new Map<string, ObservedClass>();

  constructor(private readonly settings: HeadroomSettings) {}

  /** Records that the class of this job has an unfinished job at present. */
  observeClass(spec: JobSpec, now: number): void {
    this.classes.set(spec.class, { spec, observedAt: now });
  }

  /** Whether headroom is turned on. */
  get enabled(): boolean {
    return this.settings.ratio > 0;
  }

  /**
   * Returns the demand of the expected tasks that do not fit on the machines. The number of expected tasks of a
   * class is the number of its running tasks times `HeadroomSettings.ratio`, and at least 1.
   *
   * @param now - current time of the monotonic clock in ms
   * @param machines - machines whose free capacity counts
   * @param runningByClass - number of running tasks of each job class
   */
  demand(
    now: number,
    machines: readonly Machine[],
    runningByClass: ReadonlyMap<string, number>,
  ): CapacityDemand[] {
    const demands: CapacityDemand[] = [];
    for (const { spec, observedAt } of this.classes.values()) {
      if (now - observedAt > this.settings.retentionMs) {
        this.classes.delete(spec.class);
        continue;
      }
      const expectedTasks = Math.max(
        1,
        Math.ceil((runningByClass.get(spec.class) ?? 0) * this.settings.ratio),
      );
      const fittingTasks = countFittingOnAll(spec, machines, expectedTasks);
      if (fittingTasks < expectedTasks) demands.push({ spec, tasks: expectedTasks - fittingTasks });
    }
    return demands;
  }
}
