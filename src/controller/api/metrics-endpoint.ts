/** The metrics of this node, in the text format of Prometheus. */
import type { Respond } from '../jobs/api-response.js';
import { setLeaderGauges, setNodeGauges } from '../operators/gauges.js';
import type { ApiContext } from './api-context.js';

const CONTENT_TYPE = 'text/plain; version=0.0.4';
/** Wait that is asked of a scraper while the metrics are not loaded yet. */
const RETRY_AFTER_S = 5;

/** Answers scrapers. */
export class MetricsEndpoint {
  constructor(private readonly context: ApiContext) {}

  /** Answers with the metrics, whose gauges are set first. */
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
