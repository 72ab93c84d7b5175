/** The endpoint for this node's metrics, in the text format of Prometheus. */
import type { Respond } from '../jobs/api-response.js';
import { setLeaderGauges, setNodeGauges } from '../operators/gauges.js';
import type { ApiContext } from './api-context.js';

const CONTENT_TYPE = 'text/plain; version=0.0.4';
/** Value, in seconds, of the Retry-After header of the response while the metrics module is not loaded. */
const RETRY_AFTER_S = 5;

/** Answers requests of Prometheus scrapers. */
export class MetricsEndpoint {
  constructor(private readonly context: ApiContext) {}

  /** Updates the gauges and responds with all metrics. */
  handle(respond: Respond): void {
    const { metrics, role, peers, leadership } = this.context;
    if (metrics === null) {
      const body = { error: 'starting' };
      return respond({ status: 503, body, retryAfterS: RETRY_AFTER_S });
    }
    metrics.setUnreadableMessages(peers.unreadableMessages);
    setNodeGauges(metrics, role.mayActAsLeader, leadership.leader?.term ?? 0);
    if (role.currentTerm !== null) setLeaderGauges(metrics, role.currentTerm.components);
    void metrics.render().then((text) => {
      const encodedBody = { bytes: Buffer.from(text), contentType: CONTENT_TYPE };
      respond({ status: 200, encodedBody });
    });
  }
}
