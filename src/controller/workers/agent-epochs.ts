/** Sessions of workers: when one begins, and when its lease has surely run out. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Assignments } from './assignments.js';
import type { Machine } from './machine.js';
import type { FencingTokenSync } from './fencing-token-sync.js';

/** What sessions tell of. */
export interface AgentEpochEvents {
  /** Machines changed: placement should look again. */
  placementInputChanged(): void;
  /** The machine's record has to be written. */
  recordDue(machine: Machine): void;
}

/** Begins and ends the sessions of machines. */
export class AgentEpochs {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly settings: Pick<Settings, 'workerLeaseExpiryMs'>,
    private readonly fencingTokens: Pick<FencingTokenSync, 'requireNewToken'>,
    private readonly assignments: Pick<Assignments, 'endAll' | 'endBeforeEpoch'>,
    private readonly events: AgentEpochEvents,
  ) {}

  /** The worker's lease had ended: everything of the sessions before is gone from the machine. */
  begin(machine: Machine, agentEpoch: number): void {
    this.assignments.endBeforeEpoch(machine, agentEpoch);
    // A machine that is new has still to show this term, and so hears.
    const known = machine.agentEpoch > 0;
    machine.agentEpoch = agentEpoch;
    machine.directStartTokens.clear();
    if (known) this.fencingTokens.requireNewToken(machine);
    this.events.recordDue(machine);
  }

  /** Ends what must be gone by now: sessions whose lease has surely run out. */
  expireLeases(machines: Iterable<Machine>): void {
    const now = this.eventLoop.now();
    for (const machine of machines) {
      const ended = machine.lowestValidAgentEpoch > machine.agentEpoch;
      if (ended || now - machine.leaseRenewedAt <= this.settings.workerLeaseExpiryMs) continue;
      this.expireLease(machine);
    }
  }

  private expireLease(machine: Machine): void {
    const { id, agentEpoch } = machine;
    machine.lowestValidAgentEpoch = agentEpoch + 1;
    this.fencingTokens.requireNewToken(machine);
    if (machine.assignments.size > 0)
      this.eventLoop.log.info({ machine: id, agentEpoch }, 'lease of a silent machine ran out');
    this.assignments.endAll(machine);
    this.events.placementInputChanged();
  }
}
