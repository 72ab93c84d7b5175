/** The description of a fault scenario, and counters that show whether its faults had an effect. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { Deployment } from '../deployments/deployment.js';
import type { Fault } from '../faults/scripted/fault.js';
import type { Simulation } from '../simulation.js';

/** Jobs, a combination of faults, and counters that show that the combination occurred. */
export interface FaultScenario {
  name: string;
  /** Fields of the jobs that run when the faults begin; other fields are drawn at random. */
  jobs: Partial<JobSpec>;
  /** Number of jobs that are submitted before the faults begin. */
  jobCount: number;
  /** The simulated deployment; the small one if absent. */
  deployment?: Deployment;
  /**
   * Returns the faults. Their times are in seconds, counted from the moment when the injection of
   * faults starts; jobs run by then. `between` draws a random number in a range.
   */
  faults(between: (from: number, to: number) => number): Fault[];
  /** Returns counters that must all be above 0 at the end of the scenario. */
  expectedEvents(simulation: Simulation): Record<string, number>;
}

/** Fields of job arrays that run for two minutes and are so small that all run at the same time. */
export const longJobs: Partial<JobSpec> = {
  ...{ estimatedRunS: 120, kind: 'array', tasks: 3, singleZone: false, spread: false },
  ...{ cpus: 1, gpus: 0, memoryGb: 1 },
};

/** Number of elections of a leader after the first one. */
export const failovers = (simulation: Simulation): number =>
  (simulation.processes.logCounts.get('elected leader') ?? 0) - 1;
/** Number of times that a leader renewed its lease after the lease had expired by the leader's own clock. */
export const leaseGaps = (simulation: Simulation): number =>
  simulation.processes.logCounts.get('lease renewed after a gap') ?? 0;
/** Number of jobs that still had tasks on machines when a response first reported them as cancelled. */
export const cancelledWhileRunning = (simulation: Simulation): number =>
  simulation.checker.cancelledWhileRunning.length;
/** Number of worker leases that expired. */
export const expiredLeases = (simulation: Simulation): number => simulation.expiredLeases;
