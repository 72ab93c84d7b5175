/** How a job's tasks may be divided among zones. */
import type { Job } from '../../model/entities.js';
import type { JobSpec } from '../../wire/jobs.js';
import type { ClusterCapacity } from './cluster-capacity.js';

/** Tasks of one job by zone. */
export type TasksByZone = Map<string, number>;

/** Tasks of the job by zone, wherever any may still be. */
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

/** Most tasks that one zone may have of a job that is to be spread. */
function spreadLimit(spec: JobSpec): number {
  return Math.ceil(spec.tasks / 2);
}

/** How many more tasks of a job that is to be spread a zone with `tasks` of them may take. */
export function spreadAllowance(spec: JobSpec, tasks: number): number {
  return spreadLimit(spec) - tasks;
}

/** How many more tasks of the job a zone may take. */
export function zoneAllowance(spec: JobSpec, zone: string, counts: TasksByZone): number {
  if (spec.singleZone)
    for (const [other, tasks] of counts) if (tasks > 0 && other !== zone) return 0;
  return spec.spread ? spreadAllowance(spec, counts.get(zone) ?? 0) : Infinity;
}

/** Zones to try one by one for a gang that wants one; otherwise `null`, for all at once. */
export function zoneChoices(cluster: ClusterCapacity, spec: JobSpec): (string | null)[] {
  return spec.singleZone ? cluster.zonesAllowedFor(spec) : [null];
}
