/** Routing of API requests: chooses the node and the endpoint that answer a request. */
import type { ApiResponse, Respond } from '../jobs/api-response.js';
import { WireError } from '../wire/fields.js';
import type { ApiContext } from './api-context.js';
import type { ApiRequest } from './api-request.js';
import { Endpoints } from './endpoints.js';
import { HedgedRequest } from './hedged-request.js';
import { toApiResponse } from './peer-response.js';

/** Time-out of a request that is forwarded to the leader: a heartbeat interval divided by this. */
const LEADER_TIMEOUT_DIVISOR = 2;

/** First path segment of users' requests, which a peer may answer. */
const SUBMISSIONS_ROUTE = 'submissions';
/** First path segment of requests for the view of the cluster, which only the leader can answer. */
const CLUSTER_ROUTE = 'cluster';
/** Route label that requests to unknown paths have in the metrics. */
const UNKNOWN_ROUTE = 'other';

/** Returns the first segment of the target's path. */
function routeOf(target: string): string {
  const [, firstSegment = ''] = target.split('/', 2);
  const [route = ''] = firstSegment.split('?', 1);
  return route;
}

/** Answers requests with the endpoints of this node, or forwards them to a node that can answer. */
export class Router {
  private readonly endpoints: Endpoints;

  constructor(private readonly context: ApiContext) {
    this.endpoints = new Endpoints(context);
  }

  /** Answers a request that a client sent to this node's API, and records it in the metrics. */
  request(request: ApiRequest, respond: Respond): void {
    const { eventLoop } = this.context;
    eventLoop.post('request', () => {
      const receivedAt = eventLoop.now();
      const route = routeOf(request.target);
      this.dispatch(route, request, (response) => {
        this.count(route, response, eventLoop.now() - receivedAt);
        respond(response);
      });
    });
  }

  /** Answers a request of a client or of a peer on this node, without forwarding it. */
  handle(request: ApiRequest, respond: Respond): void {
    try {
      this.serve(request, respond);
    } catch (err) {
      if (err instanceof WireError) return respond({ status: 400, body: { error: err.message } });
      this.context.eventLoop.log.error({ path: request.target, err }, 'request failed');
      respond({ status: 500, body: { error: 'internal' } });
    }
  }

  private dispatch(route: string, request: ApiRequest, respond: Respond): void {
    if (route === SUBMISSIONS_ROUTE)
      new HedgedRequest(this.context, request, respond).start((localRequest, respondLocally) =>
        this.handle(localRequest, respondLocally),
      );
    else if (route === CLUSTER_ROUTE && this.context.role.currentTerm === null)
      this.forwardToLeader(request, respond);
    else this.handle(request, respond);
  }

  private count(route: string, { status }: ApiResponse, durationMs: number): void {
    const isKnownPath = status !== 404 || route === SUBMISSIONS_ROUTE;
    this.context.metrics?.observeRequest(isKnownPath ? route : UNKNOWN_ROUTE, status, durationMs);
  }

  private forwardToLeader(request: ApiRequest, respond: Respond): void {
    const { leadership, peers, settings } = this.context;
    const host = leadership.leader?.host;
    if (host === undefined || host === settings.platform.host) return this.handle(request, respond);
    const { method, target, body } = request;
    const timeoutMs = settings.heartbeatIntervalMs / LEADER_TIMEOUT_DIVISOR;
    peers.forward(host, method, target, body, timeoutMs, (reply) => {
      const noReply = { status: 503, body: { error: 'the leader does not answer' } };
      respond(reply === null ? noReply : toApiResponse(reply));
    });
  }

  private serve({ method, target, body }: ApiRequest, respond: Respond): void {
    const [path = '', query = ''] = target.split('?', 2);
    const endpoint = this.endpoints.find(path);
    if (endpoint === null) respond({ status: 404, body: { error: 'no such path' } });
    else if (method !== endpoint.method)
      respond({ status: 405, body: { error: 'method not allowed' }, allow: endpoint.method });
    else endpoint.serve(body, respond, new URLSearchParams(query));
  }
}
