/** The order in which machines take replicas of a service. */
import type { Job } from '../jobs/table.js';
import type { Candidate } from './candidates.js';

/** Place for one replica. */
interface ReplicaPlace extends Candidate {
  cold: boolean;
  /** Replicas that the machine has before this one. */
  replicas: number;
}

/** Replicas of the service by machine, wherever any may still be. */
function replicasByMachine(job: Job): Map<string, number> {
  const replicas = new Map<string, number>();
  for (const assignment of job.all) {
    if (assignment.phase === 'ended') continue;
    const { id } = assignment.machine;
    replicas.set(id, (replicas.get(id) ?? 0) + 1);
  }
  return replicas;
}

/**
 * A service's places, one replica at a time, on as many machines as costs no fetch: so that the loss
 * of one takes few.
 */
export function spreadReplicas(job: Job, found: readonly Candidate[]): Candidate[] {
  const replicas = replicasByMachine(job);
  const places: ReplicaPlace[] = [];
  for (const candidate of found) {
    const { machine } = candidate.room;
    const cold = !machine.images.has(job.spec.image);
    const there = replicas.get(machine.id) ?? 0;
    const count = Math.min(candidate.count, job.spec.tasks);
    for (let added = 0; added < count; added++)
      places.push({ ...candidate, count: 1, cold, replicas: there + added });
  }
  return places.sort(
    (a, b) => Number(a.cold) - Number(b.cold) || a.replicas - b.replicas || a.score - b.score,
  );
}
