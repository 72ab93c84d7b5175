/** Counts combinations of faults and actions, so that tests can check that they occurred. */

/** Combinations of faults and actions that a scenario can cause. */
export type ObservedEvent =
  | 'request in an outage'
  | 'cancelled at a handover'
  | 'cancelled while the leader alone is refused'
  | 'cancelled with every team at its limit'
  | 'poll after a change'
  | 'direct command of an older leader'
  | 'direct command to a machine with blocked heartbeats'
  | 'repeated direct command'
  | 'task started by a repeated direct command'
  | 'leader killed while a new machine starts'
  | 'leader killed with every team at its limit'
  | 'leader alone in its zone'
  | 'leader elected outside a zone that is cut off'
  | 'task started on a new machine'
  | 'task started while a zone is cut off';

/** Counts how often each event was observed. */
export class ObservedEvents {
  private readonly counts = new Map<ObservedEvent, number>();

  /** Counts one occurrence of the event. */
  record(event: ObservedEvent): void {
    this.counts.set(event, this.count(event) + 1);
  }

  /** Returns how often the event occurred. */
  count(event: ObservedEvent): number {
    return this.counts.get(event) ?? 0;
  }
}

/** Age below which a machine counts as new, counted from its rental, in milliseconds. */
export const NEW_MACHINE_MS = 5000;
