/** Sends start and stop commands directly to workers, without waiting for their next heartbeat. */
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

/**
 * Maximum number of unanswered direct calls to one machine. It limits the sockets that an
 * unreachable machine can occupy.
 */
const PENDING_CALLS_LIMIT = 2;

/** URL path at which workers accept direct commands. */
const COMMAND_PATH = '/do';

const OK = 200;
/**
 * Status with which a worker refuses all commands of a call because it has seen a higher fencing
 * token.
 */
const CONFLICT = 409;

/** The commands of one direct call and the assignments that they start. */
interface CommandBatch {
  readonly agentEpoch: number;
  readonly commands: WorkerCommand[];
  readonly startedAssignments: Assignment[];
}

/** Events that `DirectCommands` raises. */
export interface DirectCommandEvents {
  /**
   * A worker refused commands and reported a fencing token of the term `term`, so it has seen the
   * leader of that term.
   */
  termReported(term: number): void;
}

/**
 * Sends starts and stops to workers without delay. Responses to heartbeats repeat them until they
 * take effect. Starts are sent only to a worker that has acknowledged this term in its agent epoch.
 * The worker can carry out a late copy of the call until a higher fencing token reaches it or its
 * agent epoch ends (invariant 6: workers refuse tokens lower than the highest they have seen).
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

  /** Requests that `flush` sends the commands that the machine needs, if there are any. */
  request(machine: Machine): void {
    this.dueMachines.add(machine);
  }

  /** Withdraws the request for a machine that is gone. */
  cancel(machine: Machine): void {
    this.dueMachines.delete(machine);
  }

  /** Sends the commands of all machines for which they were requested. Called after each batch. */
  flush(): void {
    for (const machine of this.dueMachines) this.send(machine);
    this.dueMachines.clear();
  }

  private send(machine: Machine): void {
    // It is safe to send nothing: the response to the next heartbeat carries the same commands.
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

  /**
   * Handles the response to a direct call. Its body is the worker's state, encoded as a heartbeat.
   */
  private handleResponse(machine: Machine, batch: CommandBatch, { status, body }: Reply): void {
    if (status !== OK && status !== CONFLICT) return;
    let heartbeat: Heartbeat;
    try {
      heartbeat = readHeartbeat(body);
    } catch (err) {
      this.eventLoop.log.warn(
        { machine: machine.id, err },
        'malformed response to direct commands',
      );
      return;
    }
    if (status === CONFLICT) this.events.termReported(termOfToken(heartbeat.fencingToken));
    if (machine.agentEpoch !== batch.agentEpoch) return;
    for (const assignment of batch.startedAssignments) {
      if (status === CONFLICT) revertStart(machine, assignment);
      else confirmStart(assignment, heartbeat);
    }
  }
}

/** Adds the start or stop command of the assignment to the batch if one has to be sent directly. */
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

/**
 * Notes the sequence number with which the worker confirmed the start. Heartbeats up to this number
 * may have been sent before the start, so they cannot prove that the task is missing.
 */
function confirmStart(assignment: Assignment, { sequence }: Heartbeat): void {
  if (assignment.phase === 'sent') assignment.startSentSequence = sequence;
}

/** Undoes a start that the worker refused and will never carry out, so that it is sent again. */
function revertStart(machine: Machine, assignment: Assignment): void {
  machine.directStartTokens.delete(attemptKey(assignment.name, assignment.attempt));
  if (assignment.phase === 'sent') assignment.phase = 'recorded';
}
