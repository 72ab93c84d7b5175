/** The view of the cluster, which the leader answers. */
import type { Respond } from '../jobs/api-response.js';
import { clusterView } from '../operators/cluster-view.js';
import type { ApiContext } from './api-context.js';

/** Wait that is asked of who finds no leader. */
const RETRY_AFTER_S = 1;

/** Answers operators. */
export class ClusterEndpoint {
  constructor(private readonly context: ApiContext) {}

  /** Answers with the view; its list of machines begins after the one named. */
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
