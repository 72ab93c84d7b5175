/** The parts of the controller that the API uses. */
import type { MachineTypeCatalogue } from '../fleet/machine-type-catalogue.js';
import type { Frontend } from '../jobs/frontend.js';
import type { LeaderRole } from '../leader/leader-role.js';
import type { Leadership } from '../leadership/leadership.js';
import type { MetricsSink } from '../operators/gauges.js';
import type { Readiness } from '../operators/readiness.js';
import type { Peers } from '../peers/peers.js';
import type { DecayingRate } from '../runtime/decaying-rate.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';

/** The parts of the controller that answer requests or determine which node answers them. */
export interface ApiContext {
  readonly eventLoop: EventLoop;
  readonly settings: Settings;
  readonly client: StateStoreClient;
  readonly leadership: Leadership;
  readonly role: LeaderRole;
  readonly peers: Peers;
  readonly frontend: Frontend;
  readonly catalogue: MachineTypeCatalogue;
  readonly readiness: Readiness;
  /** Rate of the heartbeats that this node redirects to the leader. */
  readonly redirectedHeartbeats: DecayingRate;
  /** Null until the metrics module is loaded, some time after the start. */
  readonly metrics: MetricsSink | null;
}
