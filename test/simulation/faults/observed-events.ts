/** Combinations of faults and actions that tests assert to have come about. */
import type { Simulation } from '../simulation.js';

/** What a scenario may bring about; tests assert that it did. */
export type ObservedEvent =
  | 'request in an outage'
  | 'cancelled at a handover'
  | 'cancelled while the leader alone is refused'
  | 'cancelled with every team at its limit'
  | 'poll after a change'
  | 'direct command of an older leader'
  | 'direct command to a machine with blocked heartbeats'
  | 'leader killed beside a new machine'
  | 'leader killed with every team at its limit'
  | 'leader alone in its zone'
  | 'leader elected outside a zone that is cut off'
  | 'task started on a new machine'
  | 'task started while a zone is cut off';

/** Counts of the events that were observed. */
export class ObservedEvents {
  private readonly counts = new Map<ObservedEvent, number>();

  /** It happened once more. */
  record(happening: ObservedEvent): void {
    this.counts.set(happening, this.count(happening) + 1);
  }

  /** How often it happened. */
  count(happening: ObservedEvent): number {
    return this.counts.get(happening) ?? 0;
  }
}

/** A machine counts as new for this long after its rental. */
export const NEW_MACHINE_MS = 5000;
/** A cancellation this long before or after the lead is given up falls into the hand-over. */
const HAND_OVER_MS = 3000;
const HAND_OVER_REASONS = ['no view of the jobs', 'workers do not reach this node'];

/** Notes combinations of faults as they come about. */
export function observeFaultCombinations(simulation: Simulation): void {
  const { checker, clock, stateStore, observedEvents } = simulation;
  let cancelledAt = -Infinity;
  let handedOverAt = -Infinity;
  const handOver = (): void => {
    if (Math.abs(cancelledAt - handedOverAt) <= HAND_OVER_MS)
      observedEvents.record('cancelled at a handover');
  };
  checker.onVisibleChange.push((_, news) => {
    if (news !== 'cancelled') return;
    cancelledAt = clock.now;
    handOver();
    const { leader } = simulation;
    if (leader !== null && stateStore.isRefusing(leader))
      observedEvents.record('cancelled while the leader alone is refused');
    if (checker.everyTeamAtLimit) observedEvents.record('cancelled with every team at its limit');
  });
  simulation.processes.onKill.push((_, leads) => {
    if (leads && checker.everyTeamAtLimit)
      observedEvents.record('leader killed with every team at its limit');
  });
  simulation.processes.onLog.push((text, fields) => {
    const { reason } = fields as { reason?: string };
    if (text !== 'no longer leader' || !HAND_OVER_REASONS.includes(reason ?? '')) return;
    handedOverAt = clock.now;
    handOver();
  });
  checker.onTaskStart.push(({ machine }) => {
    if (simulation.cloud.ageMs(machine) < NEW_MACHINE_MS)
      observedEvents.record('task started on a new machine');
  });
}
