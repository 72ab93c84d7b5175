/** Heartbeats of workers: the leader answers them, all other nodes redirect them to the leader. */
import type { ApiResponse, Respond } from '../jobs/api-response.js';
import { readHeartbeat } from '../wire/workers.js';
import type { ApiContext } from './api-context.js';

/** Path to which workers send their heartbeats. */
export const HEARTBEAT_PATH = '/v1/report';

/** The response after which the worker sends its heartbeat again, to this or another node. */
function unavailable(): ApiResponse {
  return { status: 503, body: {} };
}

/** Answers the heartbeats of workers. */
export class HeartbeatEndpoint {
  constructor(private readonly context: ApiContext) {}

  /**
   * Answers a heartbeat. Throws a `WireError` if the body is not a valid heartbeat.
   * @param body - the decoded body of the request
   */
  handle(body: unknown, respond: Respond): void {
    const heartbeat = readHeartbeat(body);
    const { role, catalogue } = this.context;
    const term = role.currentTerm;
    if (term === null) return this.redirect(respond);
    // This node is elected but may not answer, for one of these reasons: the state is not recovered yet; the
    // lease has expired and the other controllers have not all granted more time (invariant 1); the job watch
    // is older than the freshness bound (invariant 8); or the machine types are not known yet.
    if (!role.mayAnswerWorkers || catalogue.types === null) return respond(unavailable());
    const response = term.components.workers.handleHeartbeat(heartbeat);
    const hasSteppedDown = role.currentTerm !== term;
    respond(response.status === 200 && !hasSteppedDown ? response : unavailable());
  }

  /** Responds with status 421, and with the leader's host if another node is known to be leader. */
  private redirect(respond: Respond): void {
    const { redirectedHeartbeats, leadership, settings } = this.context;
    redirectedHeartbeats.count(1);
    const { leader } = leadership;
    const isOtherNode = leader !== null && leader.host !== settings.platform.host;
    respond({ status: 421, body: isOtherNode ? { foreman: leader.host } : {} });
  }
}
