/**
 * Raises the fencing tokens of workers. The tokens in heartbeats show which workers receive the
 * leader's responses.
 */
import { attemptKey, type Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Int } from '../wire/integers.js';
import { FENCING_EPOCH_LIMIT, makeFencingToken, termOfToken } from './fencing-token.js';

/**
 * Number of heartbeats with lost starts at which the leader assumes that its responses do not reach
 * the machine. A start is lost if the heartbeat lacks a task whose start was sent. Counting begins
 * again when a heartbeat shows that a message has reached the worker.
 */
const LOST_START_LIMIT = 2;

/** Raises and checks the fencing tokens of all workers for one leader's term. */
export class FencingTokenSync {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'>,
    /** The leader's term. */
    readonly term: number,
  ) {}

  /** Returns the token that commands and heartbeat responses to the machine carry at present. */
  currentToken(machine: Machine): Int {
    return makeFencingToken(this.term, machine.fencingEpoch);
  }

  /**
   * Returns true if the token is of this term. The worker that reported it has then received a
   * message from this leader.
   */
  isOfThisTerm(token: Int): boolean {
    return termOfToken(token) === this.term;
  }

  /**
   * Raises the token that the worker has to report before more tasks are placed on the machine. The
   * worker can obtain the new token only from a response that has not been sent yet, so reporting
   * it proves that responses arrive. A machine may send heartbeats but receive no responses or
   * commands. Without this check, it would look idle in every new agent epoch and would be assigned
   * the same tasks again and again.
   */
  requireNewToken(machine: Machine): void {
    if (machine.fencingEpoch < FENCING_EPOCH_LIMIT) machine.fencingEpoch++;
    machine.expectedToken = this.currentToken(machine);
    machine.tokenAcknowledged = false;
    machine.tokenUnacknowledgedSince = this.eventLoop.now();
  }

  /**
   * Processes the token in a heartbeat. Returns true if it is the first heartbeat that shows the
   * expected token, which proves that responses reach the machine.
   */
  acknowledge(machine: Machine, token: Int): boolean {
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
   * Ensures that the response to the heartbeat being handled invalidates all direct starts of the
   * attempt. Returns true if the worker may still carry out a direct start of the attempt.
   */
  voidDirectStart(machine: Machine, name: string, attempt: Int): boolean {
    const token = machine.directStartTokens.get(attemptKey(name, attempt));
    if (token === undefined) return false;
    if (token === this.currentToken(machine)) machine.fencingEpoch++;
    return true;
  }

  /**
   * Records that the heartbeat with this number shows that a start did not arrive. Several lost
   * starts in one heartbeat count once. Returns true if responses are assumed not to reach the
   * machine. The task may then be placed on another machine.
   */
  recordLostStart(machine: Machine, heartbeatNumber: number): boolean {
    if (machine.lastLostStartHeartbeat !== heartbeatNumber) machine.lostStartHeartbeats++;
    machine.lastLostStartHeartbeat = heartbeatNumber;
    if (machine.lostStartHeartbeats < LOST_START_LIMIT) return false;
    if (machine.tokenAcknowledged) this.requireNewToken(machine);
    return true;
  }

  /**
   * Returns true if direct starts may be sent to the worker: it has acknowledged the expected token
   * in its current agent epoch, and its fencing epoch is below `FENCING_EPOCH_LIMIT`.
   */
  mayStartDirectly(machine: Machine): boolean {
    return machine.tokenAcknowledged && machine.fencingEpoch < FENCING_EPOCH_LIMIT;
  }
}
