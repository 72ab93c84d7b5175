/** How often faults occur by themselves. */

/** Rates of random faults in a simulation. */
export interface FaultRates {
  /** Mean time between faults in milliseconds; Infinity for none. */
  meanIntervalMs: number;
  /** Chance that a request arrives a second time. */
  duplicated: number;
  /** Chance that a task fails. */
  taskFailures: number;
  /** Chance that a rented machine never comes up. */
  bootFailures: number;
}

/** No faults but those that a test injects. */
export const noFaults: FaultRates = {
  meanIntervalMs: Infinity,
  duplicated: 0,
  taskFailures: 0,
  bootFailures: 0,
};

/** What fails by itself in a fleet. */
export const rareFaults: FaultRates = {
  meanIntervalMs: Infinity,
  duplicated: 0.002,
  taskFailures: 0.005,
  bootFailures: 0.02,
};

/** Random faults every few seconds. */
export const frequentFaults: FaultRates = {
  meanIntervalMs: 9000,
  duplicated: 0.02,
  taskFailures: 0.03,
  bootFailures: 0.1,
};
