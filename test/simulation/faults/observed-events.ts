/** Combinations of faults and actions that tests assert to have come about. */

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
  record(event: ObservedEvent): void {
    this.counts.set(event, this.count(event) + 1);
  }

  /** How often it happened. */
  count(event: ObservedEvent): number {
    return this.counts.get(event) ?? 0;
  }
}

/** A machine counts as new for this long after its rental. */
export const NEW_MACHINE_MS = 5000;
