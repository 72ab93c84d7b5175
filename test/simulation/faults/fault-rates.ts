/** Rates of faults that several tests share. */
import type { FaultRates } from '../simulation.js';

/** No faults but those that a test injects. */
export const noFaults: FaultRates = {
  meanIntervalMs: Infinity,
  duplicated: 0,
  taskFailures: 0,
  bootFailures: 0,
};

/** Random faults every few seconds. */
export const frequentFaults: FaultRates = {
  meanIntervalMs: 9000,
  duplicated: 0.02,
  taskFailures: 0.03,
  bootFailures: 0.1,
};
