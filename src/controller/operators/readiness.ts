/** Whether the load balancer should send users to this node. */
import type { Peers } from '../peers/peers.js';
import type { Settings } from '../settings/settings.js';
import type { CallHealth } from '../store/call-health.js';

/** After this share of the leader's lease without a success at the state store the peers are consulted. */
const UNSERVED_LEASE_SHARE = 0.4;

/**
 * A node becomes ready once it knows the machine types and the state store has served it. Later it is unready
 * only while the state store serves other nodes and not this one: in an outage for all, taking every node from
 * the load balancer would only make it worse.
 */
export class Readiness {
  /** Whether the node has been ready once. */
  private wasReady = false;

  constructor(
    private readonly settings: Pick<Settings, 'leaderLeaseMs'>,
    private readonly health: Pick<CallHealth, 'sinceSuccessMs' | 'isUnavailable'>,
    private readonly peers: Pick<Peers, 'stateServedElsewhere'>,
    private readonly typesKnown: () => boolean,
  ) {}

  /** The answer to a readiness probe. */
  get ready(): boolean {
    if (!this.wasReady) {
      this.wasReady = this.typesKnown() && Number.isFinite(this.health.sinceSuccessMs);
      return this.wasReady;
    }
    const maxSinceSuccessMs = this.settings.leaderLeaseMs * UNSERVED_LEASE_SHARE;
    return (
      this.health.sinceSuccessMs < maxSinceSuccessMs ||
      !this.health.isUnavailable ||
      !this.peers.stateServedElsewhere(maxSinceSuccessMs)
    );
  }
}
