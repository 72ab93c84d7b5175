/** Scripted faults of the state store. */
import type { Injectors } from './fault.js';
import { hostsOf, type OnControllers } from './targets.js';

/** Parameters of the faults of the state store. */
export interface StateStoreFaults {
  /** It refuses all requests of these controllers, whose leases expire. */
  'state store refuses': OnControllers;
  /** It refuses the watches of these controllers, and nothing else. */
  'watches refused': OnControllers;
  'state store limits lowered': object;
  'state store outage': object;
  'slow state store': object;
  /** Transactions that get no response and are committed later. */
  'late writes': { share: number };
  /** Transactions that are committed at once and get no response. */
  'lost responses': { share: number };
}

/** Begins faults of the state store. */
export const stateStoreFaults: Injectors<StateStoreFaults> = {
  'state store refuses': (simulation, { target }, ms) => {
    for (const host of hostsOf(simulation, target)) simulation.stateStore.refuse(host, ms);
  },
  'watches refused': (simulation, { target }, ms) => {
    for (const host of hostsOf(simulation, target)) simulation.stateStore.refuseWatches(host, ms);
  },
  'state store limits lowered': ({ stateStore, upcomingStateLimits }) =>
    stateStore.lowerLimits(upcomingStateLimits),
  'state store outage': ({ stateStore }, _, ms) => stateStore.outage(ms),
  'slow state store': ({ stateStore }, _, ms) => stateStore.slowDown(ms),
  'late writes': ({ stateStore }, { share }, ms) => stateStore.delayWrites(share, ms),
  'lost responses': ({ stateStore }, { share }, ms) => stateStore.loseResponses(share, ms),
};
