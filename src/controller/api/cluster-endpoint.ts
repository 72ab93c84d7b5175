/** The endpoint for the view of the cluster, which only the leader can give. */
import type { Respond } from '../jobs/api-response.js';
import { clusterView } from '../operators/cluster-view.js';
import type { ApiContext } from './api-context.js';

/** Value, in seconds, of the Retry-After header of the 503 response while no leader is available. */
const RETRY_AFTER_S = 1;

/** Answers operators' requests for the view of the cluster. */
export class ClusterEndpoint {
  constructor(private readonly context: ApiContext) {}

  /** Responds with the view of the cluster. It lists only the machines whose ids come after `afterMachine`. */
  handle(afterMachine: string, respond: Respond): void {
    const { eventLoop, settings, role, catalogue } = this.context;
    const leaderTerm = role.recoveredTerm;
    const { types } = catalogue;
    if (leaderTerm === null || types === null) {
      const body = { error: 'no leader just now' };
      return respond({ status: 503, body, retryAfterS: RETRY_AFTER_S });
    }
    const { table, workers, placement, fleet } = leaderTerm.components;
    const view = clusterView({
      ...{ settings, table, workers, placement, fleet, types },
      term: leaderTerm.term,
      after: afterMachine,
      mayActAsLeader: role.mayActAsLeader,
      now: eventLoop.now(),
    });
    respond({ status: 200, body: view });
  }
}
