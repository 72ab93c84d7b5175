/** How a job's tasks may be divided among zones. */
import type { Job } from '../../model/entities.js';
import type { JobSpec } from '../../wire/jobs.js';
import type { ClusterCapacity } from './cluster-capacity.js';

/** Tasks of one job by zone. */
export type TasksByZone = Map<string, number>;

/** Counts the job's tasks by zone, those included that are not proven gone (docs/design.md, 5). */
export function tasksByZone(job: Job): TasksByZone {
  const counts: TasksByZone = new Map();
  for (const assignment of job.allAssignments) {
    if (assignment.phase === 'ended') continue;
    addTasks(counts, assignment.machine.zone, 1);
  }
  return counts;
}

/** Counts further tasks in a zone. */
export function addTasks(counts: TasksByZone, zone: string, tasks: number): void {
  counts.set(zone, (counts.get(zone) ?? 0) + tasks);
}

/** Most tasks of a spread job that one zone may have. */
function spreadLimit(spec: JobSpec): number {
  return Math.ceil(spec.tasks / 2);
}

/** How many more tasks of a spread job a zone may take that has `tasks` of them. */
export function spreadAllowance(spec: JobSpec, tasks: number): number {
  return spreadLimit(spec) - tasks;
}

/** How many more tasks of the job a zone may take. */
export function zoneAllowance(spec: JobSpec, zone: string, counts: TasksByZone): number {
  if (spec.singleZone)
    for (const [other, tasks] of counts) if (tasks > 0 && other !== zone) return 0;
  return spec.spread ? spreadAllowance(spec, counts.get(zone) ?? 0) : Infinity;
}

/** Zones to search one by one for a gang that asks for a single zone; otherwise `null`, for all at once. */
export function zoneChoices(cluster: ClusterCapacity, spec: JobSpec): (string | null)[] {
  return spec.singleZone ? cluster.zonesAllowedFor(spec) : [null];
}
