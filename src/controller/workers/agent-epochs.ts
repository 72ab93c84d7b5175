/** Agent epochs of workers: when one begins, and when its lease has certainly expired. */
import type { Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Assignments } from './assignments.js';
import type { FencingTokenSync } from './fencing-token-sync.js';

/** What follows from the begin or end of an agent epoch. */
export interface AgentEpochEvents {
  /** The usable machines changed: a placement pass is needed. */
  placementInputChanged(): void;
  /** The machine's record has to be written. */
  recordDue(machine: Machine): void;
}

/** Begins and ends the agent epochs of machines. */
export class AgentEpochs {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly settings: Pick<Settings, 'workerLeaseExpiryMs'>,
    private readonly fencingTokens: Pick<FencingTokenSync, 'requireNewToken'>,
    private readonly assignments: Pick<Assignments, 'endAll' | 'endBeforeEpoch'>,
    private readonly events: AgentEpochEvents,
  ) {}

  /**
   * Begins the agent epoch that a heartbeat shows. The worker's lease had ended before, so everything
   * assigned in earlier epochs is gone from the machine.
   */
  begin(machine: Machine, agentEpoch: number): void {
    this.assignments.endBeforeEpoch(machine, agentEpoch);
    // A machine that was not known before still has to acknowledge this term anyway.
    const hadEarlierEpoch = machine.agentEpoch > 0;
    machine.agentEpoch = agentEpoch;
    machine.directStartTokens.clear();
    if (hadEarlierEpoch) this.fencingTokens.requireNewToken(machine);
    this.events.recordDue(machine);
  }

  /** Ends the agent epochs whose worker lease has certainly expired. */
  expireLeases(machines: Iterable<Machine>): void {
    const now = this.eventLoop.now();
    for (const machine of machines) {
      const hasEnded = machine.lowestValidAgentEpoch > machine.agentEpoch;
      if (hasEnded || now - machine.leaseRenewedAt <= this.settings.workerLeaseExpiryMs) continue;
      this.expireLease(machine);
    }
  }

  private expireLease(machine: Machine): void {
    const { id, agentEpoch } = machine;
    machine.lowestValidAgentEpoch = agentEpoch + 1;
    this.fencingTokens.requireNewToken(machine);
    if (machine.assignments.size > 0)
      this.eventLoop.log.info({ machine: id, agentEpoch }, 'worker lease expired');
    this.assignments.endAll(machine);
    this.events.placementInputChanged();
  }
}
