/** What the simulated machines have in common: network, settings, true run times, counters. */
import type { JobSpec } from '../../src/controller/wire/jobs.js';
import type { Gangs } from './gangs.js';
import type { Happenings } from './happenings.js';
import type { Network } from './network.js';
import type { RuleChecker } from './rule-checker.js';
import type { Sim } from './sim.js';

/** Periods that the platform gives to workers, in milliseconds. */
export interface WorkerSettings {
  reportMs: number;
  leaseMs: number;
  gangWaitMs: number;
  gangPeerMs: number;
}

/** What each machine of a simulation has access to. */
export interface MachineContext {
  sim: Sim;
  net: Network;
  checker: RuleChecker;
  settings: WorkerSettings;
  /** Controllers' API by host name. */
  controllers: string[];
  apiOf(host: string): string;
  job(id: string): JobSpec | undefined;
  /** True run time of a task. */
  runMs(id: string): number;
  gangs: Gangs;
  /** Chance that a task fails. */
  errors: number;
  happenings: Happenings;
  /** How often a worker's lease has run out. */
  leasesLost: number;
  /** Replicas of services that ended by themselves. */
  replicasEnded: number;
}
