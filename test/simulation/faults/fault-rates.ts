/** Rates of faults that occur in addition to those that a scenario or test injects. */

/** Rates and probabilities of random faults in a simulation. */
export interface FaultRates {
  /** Mean time between two faults of `injectRandomFaults` in milliseconds; Infinity for none. */
  meanIntervalMs: number;
  /** Probability that a POST request arrives a second time. */
  duplicated: number;
  /** Probability that a task of a job array fails. */
  taskFailures: number;
  /** Probability that a rented machine never boots. */
  bootFailures: number;
}

/** No faults except those that a test injects. */
export const noFaults: FaultRates = {
  meanIntervalMs: Infinity,
  duplicated: 0,
  taskFailures: 0,
  bootFailures: 0,
};

/** Rare failures of single requests, tasks and boots, as in a large fleet. */
export const rareFaults: FaultRates = {
  meanIntervalMs: Infinity,
  duplicated: 0.002,
  taskFailures: 0.005,
  bootFailures: 0.02,
};

/** A random fault every nine seconds on average, and frequent failures of tasks and boots. */
export const frequentFaults: FaultRates = {
  meanIntervalMs: 9000,
  duplicated: 0.02,
  taskFailures: 0.03,
  bootFailures: 0.1,
};
