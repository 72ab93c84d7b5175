/** Demand that is expected: classes of jobs seen lately should find room for some more tasks. */
import { isAllowed } from '../placement/capacity/machine-kind.js';
import { resourceRequestOf, countFittingTasks } from '../placement/need.js';
import type { JobSpec } from '../wire/jobs.js';
import type { Machine } from '../workers/machine.js';
import type { CapacityDemand } from './scale-out-plan.js';

/** How much room is kept ahead, and for how long after the last job of a class. */
export interface HeadroomSettings {
  /** Tasks to have room for, as a share of the class's tasks that run. */
  ratio: number;
  retentionMs: number;
}

interface ObservedClass {
  spec: JobSpec;
  observedAt: number;
}

/** Tasks of the job that fit on the machine beside what runs there. */
function tasksThatFit(spec: JobSpec, machine: Machine): number {
  const { type, zone, spot } = machine;
  if (type === null || !isAllowed(spec, { type, zone, spot })) return 0;
  return countFittingTasks(
    resourceRequestOf(spec),
    type.cpus - machine.cpus,
    type.gpus - machine.gpus,
    type.memoryGb - machine.memoryGb,
  );
}

/** Free room for the job's tasks, counted up to `most`. */
function freeTasks(spec: JobSpec, machines: readonly Machine[], most: number): number {
  let free = 0;
  for (const machine of machines) {
    free += tasksThatFit(spec, machine);
    if (free >= most) break;
  }
  return free;
}

/** Remembers the classes of jobs and asks for room ahead of their next jobs. */
export class Headroom {
  private readonly classes = new Map<string, ObservedClass>();

  constructor(private readonly settings: HeadroomSettings) {}

  /** A job of the class is unfinished. */
  observeClass(spec: JobSpec, now: number): void {
    this.classes.set(spec.class, { spec, observedAt: now });
  }

  /** Some room is to be kept at all. */
  get enabled(): boolean {
    return this.settings.ratio > 0;
  }

  /** What would find no room on the machines; `running` has the tasks of each class. */
  demand(
    now: number,
    machines: readonly Machine[],
    running: ReadonlyMap<string, number>,
  ): CapacityDemand[] {
    const demands: CapacityDemand[] = [];
    for (const { spec, observedAt } of this.classes.values()) {
      if (now - observedAt > this.settings.retentionMs) {
        this.classes.delete(spec.class);
        continue;
      }
      const tasks = Math.max(1, Math.ceil((running.get(spec.class) ?? 0) * this.settings.ratio));
      const free = freeTasks(spec, machines, tasks);
      if (free < tasks) demands.push({ spec, tasks: tasks - free });
    }
    return demands;
  }
}
