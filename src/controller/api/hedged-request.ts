/**
 * Requests of users that a peer answers where the state store serves the peer and not this node. The
 * peer is asked when this node has failed or is late, so that a network partition costs the user little.
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

/** This node is late after a heartbeat interval divided by this. */
const HEDGE_DELAY_DIVISOR = 25;
/** A peer is asked if the state store served it within a heartbeat interval divided by this. */
const PEER_FRESHNESS_DIVISOR = 2;
/** The peer has to reply within a heartbeat interval divided by this. */
const PEER_TIMEOUT_DIVISOR = 6;

/** Answers a request on this node. */
export type AnswerLocally = (request: ApiRequest, respond: Respond) => void;

/** What the request needs of the rest of the controller. */
export interface HedgeContext {
  readonly eventLoop: Pick<EventLoop, 'after'>;
  readonly settings: Pick<Settings, 'heartbeatIntervalMs'>;
  readonly client: {
    readonly health: Pick<StateStoreClient['health'], 'consecutiveFailures' | 'stalledMs'>;
  };
  readonly peers: Pick<Peers, 'forward' | 'hostServedByStateStore'>;
}

/** One request, answered once: by this node or by a peer. */
export class HedgedRequest {
  private isAnswered = false;
  private isPeerReplyPending = false;
  /** This node's response where it can't answer; kept for the case that no peer can either. */
  private localFailure: ApiResponse | null = null;
  private hedgeTimer: Timer | null = null;

  constructor(
    private readonly context: HedgeContext,
    private readonly request: ApiRequest,
    private readonly respond: Respond,
  ) {}

  /** Answers the request; called once. */
  start(answerLocally: AnswerLocally): void {
    this.hedgeTimer = this.context.eventLoop.after(
      this.hedgeDelayMs,
      'late',
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
    // Not where only this node's rate share is used up: the peers' are for their own users.
    if (this.context.client.health.consecutiveFailures > 0 && this.askPeer()) return;
    this.answer(response);
  }

  /** Asks a peer, if the state store seems to serve one and not this node; tells whether a reply is awaited. */
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
