/** Scripted faults of the state store. */
import type { Injectors } from './injectors.js';
import { hostsOf, type OnControllers } from './targets.js';

/** Parameters of the faults of the state store. */
export interface StateStoreFaults {
  /** It refuses all requests of these controllers, whose leases expire. */
  stateStoreRefuses: OnControllers;
  /** It refuses the watches of these controllers, and nothing else. */
  watchesRefused: OnControllers;
  stateStoreLimitsLowered: object;
  stateStoreOutage: object;
  slowStateStore: object;
  /** Transactions that get no response and are committed later. */
  lateWrites: { share: number };
  /** Transactions that are committed at once and get no response. */
  lostResponses: { share: number };
}

/** Begins faults of the state store. */
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
