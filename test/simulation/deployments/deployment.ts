/** The description of a deployment to simulate. */
import type { MachineType } from '../../../src/controller/wire/cloud.js';
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { PlatformOptions } from '../../platform.js';
import type { SeededRandom } from '../seeded-random.js';

/** Machines of one type in one zone that exist from the start. */
export interface MachineGroup {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** A deployment to simulate. */
export interface Deployment {
  hosts: string[];
  types: MachineType[];
  machines: MachineGroup[];
  /**
   * Maximum number of machines that the cloud provides, including those that exist from the start.
   */
  capacity: number;
  platform: PlatformOptions;
  /** Maximum number of entries on one page of a read from the state store. */
  pageSize: number;
  /** Number of changes that the state store has counted before the simulation; 0 if absent. */
  firstRevision?: number;
  /** Number of newest changes that the state store retains for watches; 10,000 if absent. */
  retainedChanges?: number;
  /**
   * Virtual time at which a fault scenario starts to inject faults, in milliseconds. By then the
   * rented machines must be up and run the jobs of the scenario.
   */
  startMs?: number;
  /** Fields of the first job of a fault scenario. The job makes the controllers rent machines. */
  warmUpJob?: Partial<JobSpec>;
  /** Probability that a rented machine never boots, in a fault scenario. */
  bootFailures?: number;
  /** Factor for the CPUs and memory that a fault scenario specifies for its jobs. */
  taskScale?: number;
  /** Returns a random job of a kind that the deployment can run. */
  randomJob(random: SeededRandom, id: string): JobSpec;
}

/** Returns the names of `count` hosts that each run a controller. */
export function hostNames(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `kiln-${i}`);
}

/**
 * Returns a copy of the deployment. Its settings announce that the state store will have lower
 * limits.
 */
export function withLowerStateLimits(deployment: Deployment, writeRps: number): Deployment {
  const limits = ['value_kb = 2.0', 'txn_ops = 6', `write_rps = ${writeRps.toFixed(1)}`];
  const upcomingLimitsToml = ['[params.state.next]', ...limits, ''].join('\n');
  return { ...deployment, platform: { ...deployment.platform, upcomingLimitsToml } };
}
