/** What a deployment that the simulation plays consists of. */
import type { MachineType } from '../../../src/controller/wire/cloud.js';
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { PlatformOptions } from '../../platform.js';
import type { SeededRandom } from '../seeded-random.js';

/** Machines of one type that are up at the start. */
export interface MachineGroup {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** A deployment that the simulation plays. */
export interface Deployment {
  hosts: string[];
  types: MachineType[];
  machines: MachineGroup[];
  /** How many machines the cloud has at most. */
  capacity: number;
  platform: PlatformOptions;
  /** Entries of a page of the state store at most. */
  pageSize: number;
  /** When the work of a fault scenario runs; by then machines have come up. */
  startMs?: number;
  /** Work that brings machines up before the jobs of a fault scenario. */
  warmUpJob?: Partial<JobSpec>;
  /** Chance that a rented machine never comes up in a fault scenario. */
  bootFailures?: number;
  /** Tasks of fault scenarios take so many times the CPUs and memory that their table says. */
  taskScale?: number;
  /** A job of a kind that the deployment can run. */
  randomJob(random: SeededRandom, id: string): JobSpec;
}

/** Names of so many hosts of controllers. */
export function hostNames(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `kiln-${i}`);
}

/** The deployment where the state store will take less from some moment on. */
export function withLowerStateLimits(deployment: Deployment, writeRps: number): Deployment {
  const limits = ['value_kb = 2.0', 'txn_ops = 6', `write_rps = ${writeRps.toFixed(1)}`];
  const upcomingLimitsToml = ['[params.state.next]', ...limits, ''].join('\n');
  return { ...deployment, platform: { ...deployment.platform, upcomingLimitsToml } };
}
