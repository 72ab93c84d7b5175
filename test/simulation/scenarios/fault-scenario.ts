/** What a fault scenario consists of, and counters that show that it came about. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { Deployment } from '../deployments/deployment.js';
import type { Fault } from '../faults/scripted/fault.js';
import type { Simulation } from '../simulation.js';

/** Faults that coincide, and what shows that they did. */
export interface FaultScenario {
  name: string;
  /** What the jobs of the scenario have in common; the rest is drawn. */
  jobs: Partial<JobSpec>;
  jobCount: number;
  /** Where it is played, if not in the small deployment. */
  deployment?: Deployment;
  /** In seconds from when the first work runs; `between` draws. */
  faults(between: (from: number, to: number) => number): Fault[];
  /** Each must have happened at least once. */
  expectedEvents(simulation: Simulation): Record<string, number>;
}

/** Work that has long to go, and of which all can run at one time. */
export const longJobs: Partial<JobSpec> = {
  ...{ estimatedRunS: 120, kind: 'array', tasks: 3, singleZone: false, spread: false },
  ...{ cpus: 1, gpus: 0, memoryGb: 1 },
};

/** How often a leader was elected after the first. */
export const failovers = (simulation: Simulation): number =>
  (simulation.processes.logCounts.get('elected leader') ?? 0) - 1;
/** How often a leader went on after a gap in its lease. */
export const leaseGaps = (simulation: Simulation): number =>
  simulation.processes.logCounts.get('lease renewed after a gap') ?? 0;
/** How many jobs had tasks on machines when their users were told of the cancellation. */
export const cancelledWhileRunning = (simulation: Simulation): number =>
  simulation.checker.cancelledWhileRunning.length;
/** How often a worker's lease ran out. */
export const expiredLeases = (simulation: Simulation): number => simulation.expiredLeases;
