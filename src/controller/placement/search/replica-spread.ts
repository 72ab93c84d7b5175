/** The order in which machines take replicas of a service. */
import type { Job } from '../../model/entities.js';
import type { Candidate } from './candidate-finder.js';

/** A machine with room for replicas, and what decides between it and others. */
interface Choice extends Candidate {
  /** Whether the image has to be fetched there. */
  cold: boolean;
  /** Replicas of the service that are on the machine already. */
  there: number;
}

/**
 * A service's places one replica at a time, the best first, so that the loss of a machine or of a zone
 * takes few replicas. Spreading costs no fetch, except that no machine gets more than half of the
 * replicas while another has room. A place that is not used when it is offered is not offered again.
 */
export function* spreadReplicas(job: Job, places: readonly Candidate[]): Generator<Candidate> {
  const { machines, zones } = countReplicas(job);
  let choices: Choice[] = places.map((place) => ({
    ...place,
    cold: !place.capacity.machine.images.has(job.spec.image),
    there: machines.get(place.capacity.machine.id) ?? 0,
  }));
  const half = Math.ceil(job.spec.tasks / 2);
  const before = (a: Choice, b: Choice): number =>
    Number(a.there >= half) - Number(b.there >= half) ||
    Number(a.cold) - Number(b.cold) ||
    a.there - b.there ||
    (zones.get(a.capacity.machine.zone) ?? 0) - (zones.get(b.capacity.machine.zone) ?? 0) ||
    a.score - b.score;
  while (choices.length > 0) {
    const best = choices.reduce((a, b) => (before(b, a) < 0 ? b : a));
    const pending = job.pending.length;
    yield { capacity: best.capacity, count: 1, score: best.score };
    if (job.pending.length < pending) {
      const { zone } = best.capacity.machine;
      zones.set(zone, (zones.get(zone) ?? 0) + 1);
      best.there++;
      best.count--;
    } else best.count = 0;
    if (best.count <= 0) choices = choices.filter((choice) => choice !== best);
  }
}

/** Replicas of the service by machine and by zone, wherever any may still be. */
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
