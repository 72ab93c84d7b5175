/** The order in which the replicas of a service are distributed over machines. */
import type { Job } from '../../model/entities.js';
import type { Candidate } from './candidate-finder.js';

/** A machine that can take replicas, with the values by which it is compared with others. */
interface SpreadCandidate extends Candidate {
  /** Whether the machine has to fetch the image. */
  needsFetch: boolean;
  /** Number of replicas of the service on the machine. */
  replicas: number;
}

/**
 * Yields machines for the replicas of the service, one per replica, best first. The replicas are spread so
 * that the failure of a machine or a zone affects few of them. Whether a machine has the image counts more
 * than the spread, but a machine with at least half of the replicas comes after all others. If the caller
 * starts no replica on a yielded machine, that machine is not yielded again.
 */
export function* spreadReplicas(job: Job, candidates: readonly Candidate[]): Generator<Candidate> {
  const { machines, zones } = countReplicas(job);
  let choices: SpreadCandidate[] = candidates.map((candidate) => ({
    ...candidate,
    needsFetch: !candidate.capacity.machine.images.has(job.spec.image),
    replicas: machines.get(candidate.capacity.machine.id) ?? 0,
  }));
  const halfOfReplicas = Math.ceil(job.spec.tasks / 2);
  const compare = (a: SpreadCandidate, b: SpreadCandidate): number =>
    Number(a.replicas >= halfOfReplicas) - Number(b.replicas >= halfOfReplicas) ||
    Number(a.needsFetch) - Number(b.needsFetch) ||
    a.replicas - b.replicas ||
    (zones.get(a.capacity.machine.zone) ?? 0) - (zones.get(b.capacity.machine.zone) ?? 0) ||
    a.score - b.score;
  while (choices.length > 0) {
    const best = choices.reduce((a, b) => (compare(b, a) < 0 ? b : a));
    const pendingBefore = job.pending.length;
    yield { capacity: best.capacity, count: 1, score: best.score };
    if (job.pending.length < pendingBefore) {
      const { zone } = best.capacity.machine;
      zones.set(zone, (zones.get(zone) ?? 0) + 1);
      best.replicas++;
      best.count--;
    } else best.count = 0;
    if (best.count <= 0) choices = choices.filter((choice) => choice !== best);
  }
}

/** Counts the service's replicas by machine and by zone. A replica counts until it is proven gone. */
function countReplicas(job: Job): { machines: Map<string, number>; zones: Map<string, number> } {
  const machines = new Map<string, number>();
  const zones = new Map<string, number>();
  for (const { phase, machine } of job.allAssignments) {
    if (phase === 'ended') continue;
    machines.set(machine.id, (machines.get(machine.id) ?? 0) + 1);
    zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
  }
  return { machines, zones };
}
