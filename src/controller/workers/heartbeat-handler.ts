/** Handles the heartbeats of workers: what they prove, and the commands in their responses. */
import type { Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import { type Heartbeat, writeHeartbeatResponse } from '../wire/workers.js';
import type { AgentEpochs } from './agent-epochs.js';
import { addCommand } from './commands.js';
import type { FencingTokenSync } from './fencing-token-sync.js';
import { termOfToken } from './fencing-token.js';
import type { MachineRegistry } from './machine-registry.js';
import type { HeartbeatInProgress, Reconciliation } from './reconciliation.js';

/**
 * The response to a heartbeat. Only 200 renews the worker's lease; a heartbeat that is late, or of an
 * agent epoch that is over, must not renew it and gets 503.
 */
export type HeartbeatResponse = { status: 200; body: unknown } | { status: 503 };

const REFUSED: HeartbeatResponse = { status: 503 };

/** What follows from heartbeats. */
export interface HeartbeatEvents {
  /** The worker has seen a leader of this term. */
  higherTermSeen(term: number): void;
  /** The usable machines changed: a placement pass is needed. */
  placementInputChanged(): void;
}

/** Answers the heartbeats of workers. */
export class HeartbeatHandler {
  /** Heartbeats of all machines that were accepted in this term. */
  private heartbeatCount = 0;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'>,
    private readonly settings: Settings,
    private readonly registry: MachineRegistry,
    private readonly agentEpochs: Pick<AgentEpochs, 'begin'>,
    private readonly fencingTokens: FencingTokenSync,
    private readonly reconciliation: Pick<
      Reconciliation,
      'reconcileReportedTask' | 'reconcileMissingTask'
    >,
    private readonly events: HeartbeatEvents,
  ) {}

  /** Takes over the state that the heartbeat shows; a response of 200 renews the worker's lease. */
  handle(heartbeat: Heartbeat): HeartbeatResponse {
    this.events.higherTermSeen(termOfToken(heartbeat.fencingToken));
    // Late copies of heartbeats must not bring back a machine that the cloud has taken.
    if (this.registry.wasRemoved(heartbeat.machine)) return REFUSED;
    const machine = this.registry.getOrCreate(heartbeat.machine);
    if (isOutdated(heartbeat, machine)) return REFUSED;
    const now = this.eventLoop.now();
    this.registry.updateDescription(machine, heartbeat);
    if (heartbeat.agentEpoch > machine.agentEpoch)
      this.agentEpochs.begin(machine, heartbeat.agentEpoch);
    this.renewLease(machine, heartbeat, now);
    if (this.fencingTokens.acknowledge(machine, heartbeat.fencingToken))
      this.events.placementInputChanged();
    const inProgress: HeartbeatInProgress = {
      machine,
      heartbeat,
      heartbeatNumber: ++this.heartbeatCount,
      sentUnderThisTerm: this.fencingTokens.isOfThisTerm(heartbeat.fencingToken),
      commands: [],
    };
    this.reconcile(inProgress, now);
    if (machine.interruptionAt !== null) this.events.placementInputChanged();
    return {
      status: 200,
      body: writeHeartbeatResponse(this.fencingTokens.currentToken(machine), inProgress.commands),
    };
  }

  private renewLease(machine: Machine, { sequence, spotNoticeS }: Heartbeat, now: number): void {
    const isFirstHeartbeat = machine.lastHeartbeatAt === -Infinity;
    machine.lastHeartbeatSequence = sequence;
    machine.lastHeartbeatAt = now;
    machine.leaseRenewedAt = now;
    machine.interruptionAt = spotNoticeS === null ? null : now + spotNoticeS * 1000;
    if (isFirstHeartbeat) this.events.placementInputChanged();
  }

  private reconcile(inProgress: HeartbeatInProgress, now: number): void {
    const { machine, heartbeat, heartbeatNumber, sentUnderThisTerm, commands } = inProgress;
    for (const task of heartbeat.tasks) this.reconciliation.reconcileReportedTask(inProgress, task);
    // An assignment that ends is deleted from the map, which iteration over a Map allows.
    for (const assignment of machine.assignments.values()) {
      const isMissing =
        assignment.lastHeartbeatNumber !== heartbeatNumber && assignment.phase !== 'ended';
      if (sentUnderThisTerm && isMissing && assignment.agentEpoch === heartbeat.agentEpoch)
        this.reconciliation.reconcileMissingTask(inProgress, assignment);
      addCommand(assignment, heartbeat, commands, this.settings, now);
    }
  }
}

/** Whether the heartbeat is of an agent epoch that is over, or no later than the last of its epoch. */
function isOutdated({ agentEpoch, sequence }: Heartbeat, machine: Machine): boolean {
  if (agentEpoch < machine.agentEpoch || agentEpoch < machine.lowestValidAgentEpoch) return true;
  return agentEpoch === machine.agentEpoch && sequence <= machine.lastHeartbeatSequence;
}
