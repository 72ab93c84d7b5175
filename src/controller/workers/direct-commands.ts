/** Starts and stops sent directly to workers, ahead of the responses to their heartbeats. */
import { type Assignment, attemptKey, type Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Reply } from '../runtime/runtime.js';
import type { Settings } from '../settings/settings.js';
import {
  type Heartbeat,
  readHeartbeat,
  type WorkerCommand,
  writeDirectCommands,
} from '../wire/workers.js';
import { startCommand, stopCommand } from './commands.js';
import type { FencingTokenSync } from './fencing-token-sync.js';
import { termOfToken } from './fencing-token.js';
import type { Liveness } from './liveness.js';

/** Direct calls to one machine that may wait for a response, so that an unreachable machine takes no more sockets. */
const PENDING_CALLS_LIMIT = 2;

/** Path of direct commands at a worker. */
const COMMAND_PATH = '/do';

const OK = 200;
/** The worker has seen a higher fencing token, and has carried out nothing. */
const CONFLICT = 409;

/** The commands of one direct call, and the assignments that they start. */
interface CommandBatch {
  readonly agentEpoch: number;
  readonly commands: WorkerCommand[];
  readonly startedAssignments: Assignment[];
}

/** What follows from the responses to direct commands. */
export interface DirectCommandEvents {
  /** The worker has seen a leader of this term. */
  higherTermSeen(term: number): void;
}

/**
 * Sends starts and stops to workers at once; the responses to heartbeats repeat them until they take
 * effect. Starts go only to a worker that has acknowledged this term in its agent epoch: there a copy
 * of the call can be carried out until the fencing token is raised or the agent epoch ends, and no
 * longer (invariant 6).
 */
export class DirectCommands {
  private readonly dueMachines = new Set<Machine>();

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Pick<Settings, 'heartbeatIntervalMs'>,
    private readonly fencingTokens: FencingTokenSync,
    private readonly liveness: Pick<Liveness, 'isAlive'>,
    private readonly events: DirectCommandEvents,
  ) {}

  /** Marks the machine as one that may need commands at the end of the batch. */
  request(machine: Machine): void {
    this.dueMachines.add(machine);
  }

  /** Forgets a machine that is gone. */
  cancel(machine: Machine): void {
    this.dueMachines.delete(machine);
  }

  /** Sends the commands that are due. */
  flush(): void {
    for (const machine of this.dueMachines) this.send(machine);
    this.dueMachines.clear();
  }

  private send(machine: Machine): void {
    // Responses to heartbeats carry the same commands a little later.
    if (machine.addr === '' || machine.pendingDirectCalls >= PENDING_CALLS_LIMIT) return;
    if (!this.eventLoop.runtime.hasSpareConnection(machine.addr)) return;
    const batch = this.batchFor(machine);
    if (batch.commands.length === 0) return;
    this.markSent(machine, batch.startedAssignments);
    this.call(machine, batch);
  }

  private batchFor(machine: Machine): CommandBatch {
    const { agentEpoch } = machine;
    const batch: CommandBatch = { agentEpoch, commands: [], startedAssignments: [] };
    const mayStart =
      machine.interruptionAt === null &&
      this.fencingTokens.mayStartDirectly(machine) &&
      this.liveness.isAlive(machine);
    for (const assignment of machine.assignments.values())
      if (assignment.agentEpoch === agentEpoch) addToBatch(batch, assignment, mayStart);
    return batch;
  }

  private markSent(machine: Machine, startedAssignments: readonly Assignment[]): void {
    for (const assignment of startedAssignments) {
      assignment.phase = 'sent';
      assignment.startSentSequence = machine.lastHeartbeatSequence;
      const key = attemptKey(assignment.name, assignment.attempt);
      machine.directStartTokens.set(key, this.fencingTokens.currentToken(machine));
    }
  }

  private call(machine: Machine, batch: CommandBatch): void {
    machine.pendingDirectCalls++;
    this.eventLoop.runtime.call(
      {
        to: machine.addr,
        method: 'POST',
        path: COMMAND_PATH,
        body: writeDirectCommands(
          this.fencingTokens.currentToken(machine),
          batch.agentEpoch,
          batch.commands,
        ),
        timeoutMs: this.settings.heartbeatIntervalMs,
      },
      (reply) => {
        this.eventLoop.post('direct', () => {
          machine.pendingDirectCalls--;
          this.handleResponse(machine, batch, reply);
        });
      },
    );
  }

  /** A worker responds with its state, in the form of a heartbeat. */
  private handleResponse(machine: Machine, batch: CommandBatch, { status, body }: Reply): void {
    if (status !== OK && status !== CONFLICT) return;
    let heartbeat: Heartbeat;
    try {
      heartbeat = readHeartbeat(body);
    } catch (err) {
      this.eventLoop.log.warn({ machine: machine.id, err }, 'malformed response of a worker');
      return;
    }
    if (status === CONFLICT) this.events.higherTermSeen(termOfToken(heartbeat.fencingToken));
    if (machine.agentEpoch !== batch.agentEpoch) return;
    for (const assignment of batch.startedAssignments) {
      if (status === CONFLICT) revertStart(machine, assignment);
      else confirmStart(assignment, heartbeat);
    }
  }
}

/** Adds the start or the stop of the assignment to the batch, if one has to be sent directly. */
function addToBatch(batch: CommandBatch, assignment: Assignment, mayStart: boolean): void {
  const { phase, stop } = assignment;
  if (phase === 'recorded' && stop === null && mayStart) {
    batch.commands.push(startCommand(assignment));
    batch.startedAssignments.push(assignment);
    return;
  }
  if (stop === null || stop.sentAsDirectCommand || phase === 'ended') return;
  stop.sentAsDirectCommand = true;
  batch.commands.push(stopCommand(assignment, stop.graceS));
}

/** The worker has carried out the start: heartbeats that it sent before cannot show the task. */
function confirmStart(assignment: Assignment, { sequence }: Heartbeat): void {
  if (assignment.phase === 'sent') assignment.startSentSequence = sequence;
}

/** The worker has not carried out the start and never will: it has to be sent again. */
function revertStart(machine: Machine, assignment: Assignment): void {
  machine.directStartTokens.delete(attemptKey(assignment.name, assignment.attempt));
  if (assignment.phase === 'sent') assignment.phase = 'recorded';
}
