/** Heartbeats of workers: answered by the leader, redirected by all other nodes. */
import type { ApiResponse, Respond } from '../jobs/api-response.js';
import { readHeartbeat } from '../wire/workers.js';
import type { ApiContext } from './api-context.js';

/** Where workers send their heartbeats. */
export const HEARTBEAT_PATH = '/v1/report';

/** The worker tries again, here or at another node. */
function unavailable(): ApiResponse {
  return { status: 503, body: {} };
}

/** Answers workers. */
export class HeartbeatEndpoint {
  constructor(private readonly context: ApiContext) {}

  /** Answers a heartbeat; throws a `WireError` where the decoded body is none. */
  handle(body: unknown, respond: Respond): void {
    const heartbeat = readHeartbeat(body);
    const { role, catalogue } = this.context;
    const term = role.currentTerm;
    if (term === null) return this.redirect(respond);
    // Elected, but the state is not recovered yet, or the lease has expired.
    if (!role.mayAnswerWorkers || catalogue.types === null) return respond(unavailable());
    const response = term.components.workers.handleHeartbeat(heartbeat);
    const hasSteppedDown = role.currentTerm !== term;
    respond(response.status === 200 && !hasSteppedDown ? response : unavailable());
  }

  /** Tells a worker where the leader is, if another node is known to lead. */
  private redirect(respond: Respond): void {
    const { redirectedHeartbeats, leadership, settings } = this.context;
    redirectedHeartbeats.count(1);
    const { leader } = leadership;
    const isElsewhere = leader !== null && leader.host !== settings.platform.host;
    respond({ status: 421, body: isElsewhere ? { foreman: leader.host } : {} });
  }
}
