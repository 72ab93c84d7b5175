/** Whether workers hear their leader, by the tokens that their reports show. */
import type { EventLoop } from '../runtime/event-loop.js';
import { attemptKey } from './assignment.js';
import type { Machine } from './machine.js';
import { FENCING_EPOCH_LIMIT, makeFencingToken, termOfToken } from './fencing-token.js';

/** Reports with lost starts after which a machine is taken to hear nothing. */
const LOST_START_LIMIT = 2;

/** Raises and checks the tokens of one leader's workers. */
export class FencingTokenSync {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'>,
    /** The leader's term. */
    readonly term: number,
  ) {}

  /** The token of the commands and answers that go to the machine now. */
  currentToken(machine: Machine): number {
    return makeFencingToken(this.term, machine.fencingEpoch);
  }

  /** Whether a report with this token was sent by a worker that knew this leader. */
  isOfThisTerm(token: number | bigint): boolean {
    return termOfToken(token) === this.term;
  }

  /**
   * Nothing is placed on the machine until it shows a token that it can only have from an answer
   * that is yet to come. A machine whose reports arrive while answers and commands don't looks idle
   * in every new session; without this it would be given the same tasks again and again.
   */
  requireNewToken(machine: Machine): void {
    if (machine.fencingEpoch < FENCING_EPOCH_LIMIT) machine.fencingEpoch++;
    machine.expectedToken = this.currentToken(machine);
    machine.tokenAcknowledged = false;
    machine.tokenUnacknowledgedSince = this.eventLoop.now();
  }

  /** Takes note of the token that a report shows; true if the machine is known to hear from now on. */
  acknowledge(machine: Machine, token: number | bigint): boolean {
    for (const [attempt, startToken] of machine.directStartTokens)
      if (token > startToken) machine.directStartTokens.delete(attempt);
    if (token > machine.highestAcknowledgedToken) {
      machine.highestAcknowledgedToken = token;
      machine.lostStartHeartbeats = 0;
    }
    if (machine.tokenAcknowledged || !this.isOfThisTerm(token) || token < machine.expectedToken)
      return false;
    machine.tokenAcknowledged = true;
    return true;
  }

  /**
   * Sees to it that the answer to the report at hand voids direct starts of the attempt; true if any
   * may still be carried out.
   */
  voidDirectStart(machine: Machine, name: string, attempt: number | bigint): boolean {
    const token = machine.directStartTokens.get(attemptKey(name, attempt));
    if (token === undefined) return false;
    if (token === this.currentToken(machine)) machine.fencingEpoch++;
    return true;
  }

  /**
   * A start did not arrive, as the report of this number shows. True if the machine is taken to hear
   * nothing, so that the task may go elsewhere.
   */
  recordLostStart(machine: Machine, heartbeatNumber: number): boolean {
    if (machine.lastLostStartHeartbeat !== heartbeatNumber) machine.lostStartHeartbeats++;
    machine.lastLostStartHeartbeat = heartbeatNumber;
    if (machine.lostStartHeartbeats < LOST_START_LIMIT) return false;
    if (machine.tokenAcknowledged) this.requireNewToken(machine);
    return true;
  }

  /** Whether the worker is known to have our term in this session, and epochs are left for it. */
  mayStartDirectly(machine: Machine): boolean {
    return machine.tokenAcknowledged && machine.fencingEpoch < FENCING_EPOCH_LIMIT;
  }
}
