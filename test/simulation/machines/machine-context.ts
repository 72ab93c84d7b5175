/** What the simulated machines have in common: network, settings, true run times, counters. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { Gangs } from './gangs.js';
import type { ObservedEvents } from '../faults/observed-events.js';
import type { Network } from '../network.js';
import type { RuleChecker } from '../rules/rule-checker.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';

/** Periods that the platform gives to workers, in milliseconds. */
export interface WorkerSettings {
  heartbeatIntervalMs: number;
  leaseMs: number;
  gangWaitMs: number;
  gangPeerExitMs: number;
}

/** What each machine of a simulation has access to. */
export interface MachineContext {
  clock: VirtualClock;
  random: SeededRandom;
  network: Network;
  checker: RuleChecker;
  settings: WorkerSettings;
  /** Controllers' API by host name. */
  controllers: string[];
  apiOf(host: string): string;
  specOf(id: string): JobSpec | undefined;
  /** True run time of a task. */
  runMs(id: string): number;
  gangs: Gangs;
  /** Chance that a task fails. */
  taskFailures: number;
  observedEvents: ObservedEvents;
  /** How often a worker's lease has expired. */
  expiredLeases: number;
  /** Replicas of services that ended by themselves. */
  replicasEnded: number;
}
