/** Starts and stops sent straight to workers, ahead of the answers to their reports. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Reply } from '../runtime/runtime.js';
import type { Settings } from '../settings/settings.js';
import {
  readHeartbeat,
  writeDirectCommands,
  type WorkerCommand,
  type Heartbeat,
} from '../wire/workers.js';
import { attemptKey, type Assignment } from './assignment.js';
import type { Liveness } from './liveness.js';
import type { Machine } from './machine.js';
import { startCommand, stopCommand } from './commands.js';
import { termOfToken } from './fencing-token.js';
import type { FencingTokenSync } from './fencing-token-sync.js';

/** Direct commands to one machine that wait for its answer: a machine that is cut off takes no more sockets. */
const OPEN_CALLS_LIMIT = 2;

/** Path of direct commands at a worker. */
const COMMAND_PATH = '/do';

const OK = 200;
/** The worker has seen a higher token, and has carried out nothing. */
const CONFLICT = 409;

/** One direct command: its orders, and those of them that are starts. */
interface CommandBatch {
  readonly agentEpoch: number;
  readonly commands: WorkerCommand[];
  readonly starts: Assignment[];
}

/**
 * Starts and stops go out at once as well; the answers to reports repeat them until they show.
 * Starts only to a worker that is known to have our term in this session: there the command can
 * be carried out at most until the token is raised or the session ends.
 */
export class DirectCommands {
  private readonly due = new Set<Machine>();

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Pick<Settings, 'heartbeatIntervalMs'>,
    private readonly fencingTokens: FencingTokenSync,
    private readonly liveness: Pick<Liveness, 'isAlive'>,
    private readonly higherTerm: (term: number) => void,
  ) {}

  /** The machine has something to be told at the end of the batch. */
  request(machine: Machine): void {
    this.due.add(machine);
  }

  /** The machine is gone. */
  cancel(machine: Machine): void {
    this.due.delete(machine);
  }

  /** Sends all that is due. */
  flush(): void {
    for (const machine of this.due) this.send(machine);
    this.due.clear();
  }

  private send(machine: Machine): void {
    // The answers to reports say the same a little later.
    if (machine.addr === '' || machine.pendingDirectCalls >= OPEN_CALLS_LIMIT) return;
    if (!this.eventLoop.runtime.hasSpareConnection(machine.addr)) return;
    const batch = this.batchFor(machine);
    if (batch.commands.length === 0) return;
    this.markSent(machine, batch.starts);
    this.call(machine, batch);
  }

  private batchFor(machine: Machine): CommandBatch {
    const { agentEpoch } = machine;
    const batch: CommandBatch = { agentEpoch, commands: [], starts: [] };
    const startable =
      machine.interruptionAt === null &&
      this.fencingTokens.mayStartDirectly(machine) &&
      this.liveness.isAlive(machine);
    for (const assignment of machine.assignments.values())
      if (assignment.agentEpoch === agentEpoch) addToBatch(batch, assignment, startable);
    return batch;
  }

  private markSent(machine: Machine, starts: readonly Assignment[]): void {
    for (const assignment of starts) {
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

  private handleResponse(machine: Machine, batch: CommandBatch, { status, body }: Reply): void {
    if (status !== OK && status !== CONFLICT) return;
    const report = this.parseResponse(machine, body);
    if (report === null) return;
    if (status === CONFLICT) this.higherTerm(termOfToken(report.fencingToken));
    if (machine.agentEpoch !== batch.agentEpoch) return;
    for (const assignment of batch.starts) {
      if (status === CONFLICT) revertStart(machine, assignment);
      // Reports sent before the command was carried out cannot show the task.
      else if (assignment.phase === 'sent') assignment.startSentSequence = report.sequence;
    }
  }

  private parseResponse(machine: Machine, body: unknown): Heartbeat | null {
    try {
      return readHeartbeat(body);
    } catch (err) {
      this.eventLoop.log.warn({ machine: machine.id, err }, 'broken answer of a worker');
      return null;
    }
  }
}

/** Adds the start or the stop of the assignment to the command, if it has one to send. */
function addToBatch(batch: CommandBatch, assignment: Assignment, startable: boolean): void {
  const { phase, stop } = assignment;
  if (phase === 'recorded' && stop === null && startable) {
    batch.commands.push(startCommand(assignment));
    batch.starts.push(assignment);
    return;
  }
  if (stop === null || stop.sentAsDirectCommand || phase === 'ended') return;
  stop.sentAsDirectCommand = true;
  batch.commands.push(stopCommand(assignment, stop.graceS));
}

/** The worker has not carried out the start and never will: it goes out again. */
function revertStart(machine: Machine, assignment: Assignment): void {
  machine.directStartTokens.delete(attemptKey(assignment.name, assignment.attempt));
  if (assignment.phase === 'sent') assignment.phase = 'recorded';
}
