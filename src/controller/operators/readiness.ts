/** Whether the load balancer should send users to this node. */
import type { Peers } from '../peers/peers.js';
import type { Settings } from '../settings/settings.js';
import type { CallHealth } from '../store/call-health.js';

/** Share of the leader's lease without an answer of the state service after which peers count. */
const UNSERVED_LEASE_SHARE = 0.4;

/**
 * Ready once the node knows the machine types and the state service has served it. Later it is
 * unready only while the state service serves others and not this node: when nobody is served,
 * taking all nodes from the load balancer would only add to the outage.
 */
export class Readiness {
  private served = false;

  constructor(
    private readonly settings: Pick<Settings, 'leaderLeaseMs'>,
    private readonly health: Pick<CallHealth, 'sinceSuccessMs' | 'isUnavailable'>,
    private readonly peers: Pick<Peers, 'stateServedElsewhere'>,
    private readonly typesKnown: () => boolean,
  ) {}

  /** Asked with each probe. */
  get ready(): boolean {
    if (!this.served) {
      this.served = this.typesKnown() && Number.isFinite(this.health.sinceSuccessMs);
      return this.served;
    }
    const unservedMs = this.settings.leaderLeaseMs * UNSERVED_LEASE_SHARE;
    return (
      this.health.sinceSuccessMs < unservedMs ||
      !this.health.isUnavailable ||
      !this.peers.stateServedElsewhere(unservedMs)
    );
  }
}
