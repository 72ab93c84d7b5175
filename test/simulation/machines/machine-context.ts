/** The context that all simulated machines share: network, settings, jobs and counters. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { Gangs } from './gangs.js';
import type { ObservedEvents } from '../faults/observed-events.js';
import type { Network } from '../network.js';
import type { RuleChecker } from '../rules/rule-checker.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';

/** Intervals and time limits of the workers, from the platform settings, in milliseconds. */
export interface WorkerSettings {
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** Maximum time for which a gang member waits for the other members to be ready to start. */
  maxGangWaitMs: number;
  /** Time from the failure of a gang member to the exit of the other members. */
  gangPeerExitMs: number;
}

/** The context that all machines of a simulation share. */
export interface MachineContext {
  clock: VirtualClock;
  random: SeededRandom;
  network: Network;
  checker: RuleChecker;
  settings: WorkerSettings;
  /** Host names of the controllers. */
  controllers: string[];
  apiOf(host: string): string;
  specOf(id: string): JobSpec | undefined;
  /** Returns the actual run time of a task of the job, in milliseconds. */
  runMs(id: string): number;
  gangs: Gangs;
  /** Probability that an array task fails. */
  taskFailures: number;
  observedEvents: ObservedEvents;
  /** Number of worker leases that have expired. */
  expiredLeases: number;
  /** Number of service replicas that ended without being stopped. */
  replicasEnded: number;
}
