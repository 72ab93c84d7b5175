/**
 * Hedging of users' requests: if this node's calls to the state store fail or get no response in time, the
 * request is also forwarded to a peer that the state store serves. During a network partition between this node and
 * the state store, users then still get a response, with a short delay.
 */
import type { ApiResponse, Respond } from '../jobs/api-response.js';
import type { ForwardedReply } from '../peers/message.js';
import type { Peers } from '../peers/peers.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Timer } from '../runtime/runtime.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { ApiRequest } from './api-request.js';
import { toApiResponse } from './peer-response.js';

const UNAVAILABLE_STATUS = 503;

/**
 * Delay after which a request without a response may be forwarded to a peer: a heartbeat interval divided by
 * this. A call to the state store counts as stalled after the same delay.
 */
const HEDGE_DELAY_DIVISOR = 25;
/**
 * A peer is asked only if the time since the state store last served it is at most a heartbeat interval
 * divided by this.
 */
const PEER_FRESHNESS_DIVISOR = 2;
/** Time-out of a request that is forwarded to a peer: a heartbeat interval divided by this. */
const PEER_TIMEOUT_DIVISOR = 6;

/** Answers a request on this node. */
export type AnswerLocally = (request: ApiRequest, respond: Respond) => void;

/** The parts of the controller that a hedged request uses. */
export interface HedgeContext {
  readonly eventLoop: Pick<EventLoop, 'after'>;
  readonly settings: Pick<Settings, 'heartbeatIntervalMs'>;
  readonly client: {
    readonly health: Pick<StateStoreClient['health'], 'consecutiveFailures' | 'stalledMs'>;
  };
  readonly peers: Pick<Peers, 'forward' | 'hostServedByStateStore'>;
}

/** One request, which gets exactly one response: that of this node or that of a peer. */
export class HedgedRequest {
  private isAnswered = false;
  /** Whether the request has been forwarded to a peer that has neither replied nor timed out. */
  private isPeerReplyPending = false;
  /** This node's 503 response; sent if no peer replies with another status. */
  private localFailure: ApiResponse | null = null;
  /** Forwards the request to a peer if this node has not responded within `hedgeDelayMs`. */
  private hedgeTimer: Timer | null = null;

  constructor(
    private readonly context: HedgeContext,
    private readonly request: ApiRequest,
    private readonly respond: Respond,
  ) {}

  /** Starts to answer the request on this node. Must be called only once. */
  start(answerLocally: AnswerLocally): void {
    this.hedgeTimer = this.context.eventLoop.after(
      this.hedgeDelayMs,
      'hedge-delay',
      () => void this.askPeer(),
    );
    answerLocally(this.request, (response) => this.handleLocalResponse(response));
  }

  private get hedgeDelayMs(): number {
    return this.context.settings.heartbeatIntervalMs / HEDGE_DELAY_DIVISOR;
  }

  private handleLocalResponse(response: ApiResponse): void {
    if (response.status !== UNAVAILABLE_STATUS) return this.answer(response);
    this.localFailure = response;
    if (this.isPeerReplyPending) return;
    // A 503 without a failed call means that this node has merely used up its share of the state store's
    // request rate. Then no peer is asked, because the peers' shares are for requests of their own users.
    if (this.context.client.health.consecutiveFailures > 0 && this.askPeer()) return;
    this.answer(response);
  }

  /**
   * Forwards the request to a peer that the state store has recently served, if this node's own calls to the
   * state store fail or stall. Returns whether a peer's reply is pending.
   */
  private askPeer(): boolean {
    if (this.isAnswered || this.isPeerReplyPending) return this.isPeerReplyPending;
    const { client, peers, settings } = this.context;
    if (client.health.consecutiveFailures === 0 && client.health.stalledMs < this.hedgeDelayMs)
      return false;
    const { heartbeatIntervalMs } = settings;
    const host = peers.hostServedByStateStore(heartbeatIntervalMs / PEER_FRESHNESS_DIVISOR);
    if (host === null) return false;
    this.isPeerReplyPending = true;
    const { method, target, body } = this.request;
    const timeoutMs = heartbeatIntervalMs / PEER_TIMEOUT_DIVISOR;
    peers.forward(host, method, target, body, timeoutMs, (reply) => this.handlePeerReply(reply));
    return true;
  }

  private handlePeerReply(reply: ForwardedReply | null): void {
    this.isPeerReplyPending = false;
    if (reply !== null && reply.status !== UNAVAILABLE_STATUS) this.answer(toApiResponse(reply));
    else if (this.localFailure !== null) this.answer(this.localFailure);
  }

  private answer(response: ApiResponse): void {
    if (this.isAnswered) return;
    this.isAnswered = true;
    this.hedgeTimer?.cancel();
    this.respond(response);
  }
}
