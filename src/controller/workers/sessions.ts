/** Sessions of workers: when one begins, and when its lease has surely run out. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Assignments } from './assignments.js';
import type { Machine } from './machine.js';
import type { TokenSync } from './token-sync.js';

/** What sessions tell of. */
export interface SessionEvents {
  /** Machines changed: placement should look again. */
  changed(): void;
  /** The machine's record has to be written. */
  recordDue(machine: Machine): void;
}

/** Begins and ends the sessions of machines. */
export class Sessions {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly settings: Pick<Settings, 'workerLeaseExpiryMs'>,
    private readonly sync: Pick<TokenSync, 'requireNewToken'>,
    private readonly assignments: Pick<Assignments, 'endAll' | 'endBefore'>,
    private readonly events: SessionEvents,
  ) {}

  /** The worker's lease had ended: everything of the sessions before is gone from the machine. */
  begin(machine: Machine, session: number): void {
    this.assignments.endBefore(machine, session);
    // A machine that is new has still to show this term, and so hears.
    const known = machine.session > 0;
    machine.session = session;
    machine.directStartTokens.clear();
    if (known) this.sync.requireNewToken(machine);
    this.events.recordDue(machine);
  }

  /** Ends what must be gone by now: sessions whose lease has surely run out. */
  endExpired(machines: Iterable<Machine>): void {
    const now = this.eventLoop.now();
    for (const machine of machines) {
      const ended = machine.lowestValidSession > machine.session;
      if (ended || now - machine.leaseRenewedAt <= this.settings.workerLeaseExpiryMs) continue;
      this.expire(machine);
    }
  }

  private expire(machine: Machine): void {
    const { id, session } = machine;
    machine.lowestValidSession = session + 1;
    this.sync.requireNewToken(machine);
    if (machine.assignments.size > 0)
      this.eventLoop.log.info({ machine: id, session }, 'lease of a silent machine ran out');
    this.assignments.endAll(machine);
    this.events.changed();
  }
}
