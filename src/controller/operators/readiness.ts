/** Decides whether the load balancer should send users' requests to this node. */
import type { Peers } from '../peers/peers.js';
import type { Settings } from '../settings/settings.js';
import type { CallHealth } from '../store/call-health.js';

/**
 * After the state store has served a node, the node counts as served for this time, as a ratio to the
 * leader's lease. The ratio applies to this node and to its peers alike.
 */
const SERVED_LEASE_RATIO = 0.4;

/**
 * Readiness of this node. The node becomes ready once it knows the machine types and the state store has served
 * one of its calls. After that it is unready only while the state store serves other nodes but not this one: if
 * the store serves no node, removing all nodes from the load balancer would only make the outage worse.
 */
export class Readiness {
  /** Whether the node has been ready before. */
  private wasReady = false;

  constructor(
    private readonly settings: Pick<Settings, 'leaderLeaseMs'>,
    private readonly health: Pick<CallHealth, 'sinceSuccessMs' | 'isUnavailable'>,
    private readonly peers: Pick<Peers, 'stateServedElsewhere'>,
    private readonly typesKnown: () => boolean,
  ) {}

  /** Whether a readiness probe succeeds now. */
  get ready(): boolean {
    if (!this.wasReady) {
      this.wasReady = this.typesKnown() && Number.isFinite(this.health.sinceSuccessMs);
      return this.wasReady;
    }
    const maxSinceSuccessMs = this.settings.leaderLeaseMs * SERVED_LEASE_RATIO;
    return (
      this.health.sinceSuccessMs < maxSinceSuccessMs ||
      !this.health.isUnavailable ||
      !this.peers.stateServedElsewhere(maxSinceSuccessMs)
    );
  }
}
