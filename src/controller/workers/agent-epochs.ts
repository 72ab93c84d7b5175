/**
 * Agent epochs of workers. A worker begins a new agent epoch after its lease has expired; the
 * leader ends the worker's epoch once that lease has certainly expired.
 */
import type { Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Assignments } from './assignments.js';
import type { FencingTokenSync } from './fencing-token-sync.js';

/** Events that `AgentEpochs` raises. */
export interface AgentEpochEvents {
  /** The set of usable machines changed: a placement pass is needed. */
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
   * Begins the agent epoch that a heartbeat reports. The worker's lease ended before it began this
   * epoch, so all tasks assigned in earlier epochs are gone from the machine.
   */
  begin(machine: Machine, agentEpoch: number): void {
    this.assignments.endBeforeEpoch(machine, agentEpoch);
    // If no earlier epoch is known, no new token is needed: the worker has not acknowledged the
    // first token of this term yet.
    const hadEarlierEpoch = machine.agentEpoch > 0;
    machine.agentEpoch = agentEpoch;
    machine.directStartTokens.clear();
    if (hadEarlierEpoch) this.fencingTokens.requireNewToken(machine);
    this.events.recordDue(machine);
  }

  /** Ends each agent epoch whose worker lease has certainly expired, and all its assignments. */
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
