/** Handles worker heartbeats: updates the leader's state and puts commands into the responses. */
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
 * The response to a heartbeat. Only status 200 renews the worker's lease. Status 503 is sent if the
 * heartbeat arrives out of order, its agent epoch has ended or its machine was removed, because the
 * lease must not be renewed in these cases.
 */
export type HeartbeatResponse = { status: 200; body: unknown } | { status: 503 };

const REFUSED: HeartbeatResponse = { status: 503 };

/** Events that `HeartbeatHandler` raises. */
export interface HeartbeatEvents {
  /**
   * A heartbeat carried a fencing token of the term `term`, so the worker has seen the leader of
   * that term. Raised for every heartbeat; `term` need not be higher than this leader's own.
   */
  termReported(term: number): void;
  /** The set of usable machines may have changed: a placement pass is needed. */
  placementInputChanged(): void;
}

/** Checks each heartbeat, applies it to the state of its machine, and builds the response. */
export class HeartbeatHandler {
  /** Number of heartbeats accepted in this term, from all machines. */
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

  /** Applies the state in the heartbeat. A response with status 200 renews the worker's lease. */
  handle(heartbeat: Heartbeat): HeartbeatResponse {
    this.events.termReported(termOfToken(heartbeat.fencingToken));
    // The network may deliver copies of a heartbeat after the cloud has confirmed that the machine
    // is gone. Such a copy must not register the machine again.
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
    // Assignments that end are deleted from the map during the loop, which iteration over a Map
    // allows.
    for (const assignment of machine.assignments.values()) {
      const isMissing =
        assignment.lastHeartbeatNumber !== heartbeatNumber && assignment.phase !== 'ended';
      if (sentUnderThisTerm && isMissing && assignment.agentEpoch === heartbeat.agentEpoch)
        this.reconciliation.reconcileMissingTask(inProgress, assignment);
      addCommand(assignment, heartbeat, commands, this.settings, now);
    }
  }
}

/**
 * Returns true if the heartbeat belongs to an agent epoch that has ended, or if a heartbeat with
 * the same or a higher sequence number was already accepted in its epoch.
 */
function isOutdated({ agentEpoch, sequence }: Heartbeat, machine: Machine): boolean {
  if (agentEpoch < machine.agentEpoch || agentEpoch < machine.lowestValidAgentEpoch) return true;
  return agentEpoch === machine.agentEpoch && sequence <= machine.lastHeartbeatSequence;
}
