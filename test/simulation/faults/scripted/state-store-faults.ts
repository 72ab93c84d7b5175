/** Scripted faults of the state store. */
import type { Injectors } from './injectors.js';
import { hostsOf, type OnControllers } from './targets.js';

/** Parameters of the faults of the state store. */
export interface StateStoreFaults {
  /** Refuses all requests of these controllers, so that their leases expire. */
  stateStoreRefuses: OnControllers;
  /** Refuses only the watches of these controllers. */
  watchesRefused: OnControllers;
  stateStoreLimitsLowered: object;
  stateStoreOutage: object;
  slowStateStore: object;
  /** Delays the commits of a share of the transactions, which get no response. */
  lateWrites: { share: number };
  /** Commits a share of the transactions immediately, but loses their responses. */
  lostResponses: { share: number };
}

/** Injectors of the faults of the state store. */
export const stateStoreFaults: Injectors<StateStoreFaults> = {
  stateStoreRefuses: (simulation, { target }, ms) => {
    for (const host of hostsOf(simulation, target)) simulation.stateStore.refuse(host, ms);
  },
  watchesRefused: (simulation, { target }, ms) => {
    for (const host of hostsOf(simulation, target)) simulation.stateStore.refuseWatches(host, ms);
  },
  stateStoreLimitsLowered: ({ stateStore, upcomingStateLimits }) =>
    stateStore.lowerLimits(upcomingStateLimits),
  stateStoreOutage: ({ stateStore }, _, ms) => stateStore.outage(ms),
  slowStateStore: ({ stateStore }, _, ms) => stateStore.slowDown(ms),
  lateWrites: ({ stateStore }, { share }, ms) => stateStore.delayWrites(share, ms),
  lostResponses: ({ stateStore }, { share }, ms) => stateStore.loseResponses(share, ms),
};
