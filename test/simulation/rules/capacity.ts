/** Computes whether machines have free capacity for a job. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { FreeCapacity } from './placement.js';

/** Tolerance for rounding errors in free CPUs, GPUs and gigabytes of memory. */
const ROUNDING_TOLERANCE = 1e-6;

/** How many tasks of a job have to start together: all tasks of a gang, one task of other jobs. */
export function tasksStartedTogether(spec: JobSpec): number {
  return spec.kind === 'gang' ? spec.tasks : 1;
}

/** Whether the machines have capacity for the tasks of the job that have to start together. */
export function hasCapacity(spec: JobSpec, free: readonly FreeCapacity[]): boolean {
  const tasksByZone = new Map<string, number>();
  for (const machine of free) {
    if (!isAllowed(spec, machine)) continue;
    const tasks = Math.max(0, tasksThatFit(spec, machine));
    tasksByZone.set(machine.zone, (tasksByZone.get(machine.zone) ?? 0) + tasks);
  }
  const zoneCounts = [...tasksByZone.values()];
  const tasksNeeded = tasksStartedTogether(spec);
  if (spec.singleZone) return Math.max(0, ...zoneCounts) >= tasksNeeded;
  const maxPerZone = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
  return zoneCounts.reduce((sum, count) => sum + Math.min(count, maxPerZone), 0) >= tasksNeeded;
}

function isAllowed(spec: JobSpec, machine: FreeCapacity): boolean {
  if (machine.interruptionNotice || (machine.spot && !spec.spot)) return false;
  if (spec.types !== null && !spec.types.includes(machine.type)) return false;
  return spec.zone === null || spec.zone === machine.zone;
}

function tasksThatFit(spec: JobSpec, machine: FreeCapacity): number {
  return Math.min(
    tasksWithin(machine.cpus, spec.cpus),
    tasksWithin(machine.gpus, spec.gpus),
    tasksWithin(machine.memoryGb, spec.memoryGb),
  );
}

function tasksWithin(free: number, needed: number): number {
  return needed > 0 ? Math.floor((free + ROUNDING_TOLERANCE) / needed) : Infinity;
}
