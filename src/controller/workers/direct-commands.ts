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
import { startOrder, stopOrder } from './orders.js';
import { termOf } from './token.js';
import type { TokenSync } from './token-sync.js';

/** Direct commands to one machine that wait for its answer: a machine that is cut off takes no more sockets. */
const OPEN_CALLS_LIMIT = 2;

/** Path of direct commands at a worker. */
const COMMAND_PATH = '/do';

const OK = 200;
/** The worker has seen a higher token, and has carried out nothing. */
const CONFLICT = 409;

/** One direct command: its orders, and those of them that are starts. */
interface Command {
  readonly session: number;
  readonly orders: WorkerCommand[];
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
    private readonly sync: TokenSync,
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
    if (machine.addr === '' || machine.openDirectCalls >= OPEN_CALLS_LIMIT) return;
    if (!this.eventLoop.runtime.hasSpareConnection(machine.addr)) return;
    const command = this.commandFor(machine);
    if (command.orders.length === 0) return;
    this.markSent(machine, command.starts);
    this.call(machine, command);
  }

  private commandFor(machine: Machine): Command {
    const { session } = machine;
    const command: Command = { session, orders: [], starts: [] };
    const startable =
      machine.noticeAt === null &&
      this.sync.mayStartDirectly(machine) &&
      this.liveness.isAlive(machine);
    for (const assignment of machine.assignments.values())
      if (assignment.session === session) addTo(command, assignment, startable);
    return command;
  }

  private markSent(machine: Machine, starts: readonly Assignment[]): void {
    for (const assignment of starts) {
      assignment.phase = 'sent';
      assignment.sentSeq = machine.lastSeq;
      const key = attemptKey(assignment.name, assignment.attempt);
      machine.directStartTokens.set(key, this.sync.tokenOf(machine));
    }
  }

  private call(machine: Machine, command: Command): void {
    machine.openDirectCalls++;
    this.eventLoop.runtime.call(
      {
        to: machine.addr,
        method: 'POST',
        path: COMMAND_PATH,
        body: writeDirectCommands(this.sync.tokenOf(machine), command.session, command.orders),
        timeoutMs: this.settings.heartbeatIntervalMs,
      },
      (reply) => {
        this.eventLoop.post('direct', () => {
          machine.openDirectCalls--;
          this.answered(machine, command, reply);
        });
      },
    );
  }

  private answered(machine: Machine, command: Command, { status, body }: Reply): void {
    if (status !== OK && status !== CONFLICT) return;
    const report = this.readAnswer(machine, body);
    if (report === null) return;
    if (status === CONFLICT) this.higherTerm(termOf(report.fencingToken));
    if (machine.session !== command.session) return;
    for (const assignment of command.starts) {
      if (status === CONFLICT) startRefused(machine, assignment);
      // Reports sent before the command was carried out cannot show the task.
      else if (assignment.phase === 'sent') assignment.sentSeq = report.sequence;
    }
  }

  private readAnswer(machine: Machine, body: unknown): Heartbeat | null {
    try {
      return readHeartbeat(body);
    } catch (err) {
      this.eventLoop.log.warn({ machine: machine.id, err }, 'broken answer of a worker');
      return null;
    }
  }
}

/** Adds the start or the stop of the assignment to the command, if it has one to send. */
function addTo(command: Command, assignment: Assignment, startable: boolean): void {
  const { phase, stop } = assignment;
  if (phase === 'recorded' && stop === null && startable) {
    command.orders.push(startOrder(assignment));
    command.starts.push(assignment);
    return;
  }
  if (stop === null || stop.sentDirectly || phase === 'ended') return;
  stop.sentDirectly = true;
  command.orders.push(stopOrder(assignment, stop.graceS));
}

/** The worker has not carried out the start and never will: it goes out again. */
function startRefused(machine: Machine, assignment: Assignment): void {
  machine.directStartTokens.delete(attemptKey(assignment.name, assignment.attempt));
  if (assignment.phase === 'sent') assignment.phase = 'recorded';
}
