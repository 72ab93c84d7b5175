/** Rules for the distribution of a job's tasks over zones. */
import type { Job } from '../../model/entities.js';
import type { JobSpec } from '../../wire/jobs.js';
import type { ClusterCapacity } from './cluster-capacity.js';

/** Number of tasks of one job, by zone. */
export type TasksByZone = Map<string, number>;

/**
 * Counts the job's tasks by zone. A task counts until it is proven to be no longer on its machine (design.md,
 * invariant 5).
 */
export function tasksByZone(job: Job): TasksByZone {
  const counts: TasksByZone = new Map();
  for (const assignment of job.allAssignments) {
    if (assignment.phase === 'ended') continue;
    addTasks(counts, assignment.machine.zone, 1);
  }
  return counts;
}

/** Adds tasks to the count of a zone. */
export function addTasks(counts: TasksByZone, zone: string, tasks: number): void {
  counts.set(zone, (counts.get(zone) ?? 0) + tasks);
}

/** Returns the maximum number of tasks of a spread job in one zone. */
function spreadLimit(spec: JobSpec): number {
  return Math.ceil(spec.tasks / 2);
}

/** Returns how many more tasks of a spread job are allowed in a zone that has `tasks` tasks of the job. */
export function spreadAllowance(spec: JobSpec, tasks: number): number {
  return spreadLimit(spec) - tasks;
}

/** Returns how many more tasks of the job are allowed in the zone; `Infinity` if there is no limit. */
export function zoneAllowance(spec: JobSpec, zone: string, counts: TasksByZone): number {
  if (spec.singleZone)
    for (const [other, tasks] of counts) if (tasks > 0 && other !== zone) return 0;
  return spec.spread ? spreadAllowance(spec, counts.get(zone) ?? 0) : Infinity;
}

/**
 * Returns the zones to search one after the other for a single-zone job. For other jobs, returns a single
 * null, which stands for all zones together.
 */
export function zoneChoices(cluster: ClusterCapacity, spec: JobSpec): (string | null)[] {
  return spec.singleZone ? cluster.zonesAllowedFor(spec) : [null];
}
