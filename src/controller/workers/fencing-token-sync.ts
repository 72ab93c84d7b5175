/** Raises fencing tokens and tracks, by the tokens in heartbeats, which workers receive their leader. */
import { attemptKey, type Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import { FENCING_EPOCH_LIMIT, makeFencingToken, termOfToken } from './fencing-token.js';

/** After so many heartbeats in a row that lack a start the machine is taken to receive nothing. */
const LOST_START_LIMIT = 2;

/** Raises and checks the fencing tokens of one leader's workers. */
export class FencingTokenSync {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'>,
    /** The leader's term. */
    readonly term: number,
  ) {}

  /** The token of the commands and heartbeat responses that go to the machine now. */
  currentToken(machine: Machine): number {
    return makeFencingToken(this.term, machine.fencingEpoch);
  }

  /** Whether a heartbeat with this token was sent by a worker that knew this leader. */
  isOfThisTerm(token: number | bigint): boolean {
    return termOfToken(token) === this.term;
  }

  /**
   * Raises the token that the machine has to show before anything more is placed on it; the worker
   * can only have it from a response that is yet to be sent. A machine whose heartbeats arrive while
   * responses and commands are lost looks idle in every new agent epoch, and would otherwise be given
   * the same tasks again and again.
   */
  requireNewToken(machine: Machine): void {
    if (machine.fencingEpoch < FENCING_EPOCH_LIMIT) machine.fencingEpoch++;
    machine.expectedToken = this.currentToken(machine);
    machine.tokenAcknowledged = false;
    machine.tokenUnacknowledgedSince = this.eventLoop.now();
  }

  /**
   * Takes note of the token in a heartbeat. Returns true if the machine has just been found to
   * receive responses: it shows the expected token, and had not done so before.
   */
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
   * Makes sure that the response to the present heartbeat invalidates direct starts of the attempt.
   * Returns true if one may still be carried out.
   */
  voidDirectStart(machine: Machine, name: string, attempt: number | bigint): boolean {
    const token = machine.directStartTokens.get(attemptKey(name, attempt));
    if (token === undefined) return false;
    if (token === this.currentToken(machine)) machine.fencingEpoch++;
    return true;
  }

  /**
   * Records that a start did not arrive, as the heartbeat of this number shows; several lost starts in
   * one heartbeat count once. Returns true if the machine is taken to receive nothing, so that the
   * task may be placed elsewhere.
   */
  recordLostStart(machine: Machine, heartbeatNumber: number): boolean {
    if (machine.lastLostStartHeartbeat !== heartbeatNumber) machine.lostStartHeartbeats++;
    machine.lastLostStartHeartbeat = heartbeatNumber;
    if (machine.lostStartHeartbeats < LOST_START_LIMIT) return false;
    if (machine.tokenAcknowledged) this.requireNewToken(machine);
    return true;
  }

  /** Whether the worker has acknowledged this term in its agent epoch, and fencing epochs are left. */
  mayStartDirectly(machine: Machine): boolean {
    return machine.tokenAcknowledged && machine.fencingEpoch < FENCING_EPOCH_LIMIT;
  }
}
