/** Reports of workers: what they prove, and the orders in their answers. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import { writeHeartbeatResponse, type Heartbeat } from '../wire/workers.js';
import type { Machine } from './machine.js';
import { addCommand } from './commands.js';
import type { Reconciliation, HeartbeatInProgress } from './reconciliation.js';
import type { MachineRegistry } from './machine-registry.js';
import type { AgentEpochs } from './agent-epochs.js';
import { termOfToken } from './fencing-token.js';
import type { FencingTokenSync } from './fencing-token-sync.js';

/** A report that came too late or from a session that is over gets no 200: it must not renew. */
export type HeartbeatResponse = { status: 200; body: unknown } | { status: 503 };

const REFUSED: HeartbeatResponse = { status: 503 };

/** What reports tell of. */
export interface HeartbeatEvents {
  /** The worker has seen a leader of this term. */
  higherTermSeen(term: number): void;
  /** Machines changed: placement should look again. */
  placementInputChanged(): void;
}

/** Answers the reports of workers. */
export class HeartbeatHandler {
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

  /** Takes over what the report says; an answer of 200 renews the worker's lease. */
  handle(heartbeat: Heartbeat): HeartbeatResponse {
    this.events.higherTermSeen(termOfToken(heartbeat.fencingToken));
    // Late copies of reports must not bring back a machine that the cloud has taken.
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
    const handled: HeartbeatInProgress = {
      machine,
      heartbeat,
      heartbeatNumber: ++this.heartbeatCount,
      sentUnderThisTerm: this.fencingTokens.isOfThisTerm(heartbeat.fencingToken),
      commands: [],
    };
    this.reconcile(handled, now);
    if (machine.interruptionAt !== null) this.events.placementInputChanged();
    return {
      status: 200,
      body: writeHeartbeatResponse(this.fencingTokens.currentToken(machine), handled.commands),
    };
  }

  private renewLease(machine: Machine, { sequence, spotNoticeS }: Heartbeat, now: number): void {
    const first = machine.lastHeartbeatAt === -Infinity;
    machine.lastHeartbeatSequence = sequence;
    machine.lastHeartbeatAt = now;
    machine.leaseRenewedAt = now;
    machine.interruptionAt = spotNoticeS === null ? null : now + spotNoticeS * 1000;
    if (first) this.events.placementInputChanged();
  }

  private reconcile(handled: HeartbeatInProgress, now: number): void {
    const { machine, heartbeat, heartbeatNumber, sentUnderThisTerm, commands } = handled;
    for (const task of heartbeat.tasks) this.reconciliation.reconcileReportedTask(handled, task);
    // Ending one takes it from the map, which a loop over a map allows for.
    for (const assignment of machine.assignments.values()) {
      const unlisted =
        assignment.lastHeartbeatNumber !== heartbeatNumber && assignment.phase !== 'ended';
      if (sentUnderThisTerm && unlisted && assignment.agentEpoch === heartbeat.agentEpoch)
        this.reconciliation.reconcileMissingTask(handled, assignment);
      addCommand(assignment, heartbeat, commands, this.settings, now);
    }
  }
}

/** Whether the report is of a session that is over, or older than the last of its session. */
function isOutdated(heartbeat: Heartbeat, machine: Machine): boolean {
  if (
    heartbeat.agentEpoch < machine.agentEpoch ||
    heartbeat.agentEpoch < machine.lowestValidAgentEpoch
  )
    return true;
  return (
    heartbeat.agentEpoch === machine.agentEpoch &&
    heartbeat.sequence <= machine.lastHeartbeatSequence
  );
}
