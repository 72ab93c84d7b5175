/** The order in which machines take replicas of a service. */
import type { Job } from '../../model/entities.js';
import type { Candidate } from './candidate-finder.js';

/** A machine that can take replicas, and what decides between it and others. */
interface SpreadCandidate extends Candidate {
  /** The image has to be fetched there. */
  needsFetch: boolean;
  /** Replicas of the service that are on the machine already. */
  replicas: number;
}

/**
 * Offers places for a service's replicas one at a time, the best first, so that the loss of a machine or
 * of a zone takes few replicas. Spreading costs no image fetch, except that no machine gets more than
 * half of the replicas while another has capacity. A machine whose place is not taken when it is offered
 * is not offered again.
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

/** Counts the service's replicas by machine and by zone, those included that are not proven gone. */
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
