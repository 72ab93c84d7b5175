/** Scripted faults of the state store. */
import type { Injectors } from './injectors.js';
import { hostsOf, type OnControllers } from './targets.js';

/** Parameters of the faults of the state store. */
export interface StateStoreFaults {
  /** Refuses all requests of the selected controllers, so that a leader's lease expires. */
  stateStoreRefuses: OnControllers;
  /** Refuses the watches of the selected controllers, but none of their other requests. */
  watchesRefused: OnControllers;
  stateStoreLimitsLowered: object;
  stateStoreOutage: object;
  slowStateStore: object;
  /** Commits a share of the transactions late and sends no response to them. */
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
