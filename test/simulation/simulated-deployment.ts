/** What faults and their observers know of a simulation. */
import type { ConnectionFaults } from './faults/connection-faults.js';
import type { MachineFaults } from './faults/machine-faults.js';
import type { ObservedEvents } from './faults/observed-events.js';
import type { Cloud } from './machines/cloud.js';
import type { Worker } from './machines/worker.js';
import type { ControllerProcesses } from './processes.js';
import type { RuleChecker } from './rules/rule-checker.js';
import type { SeededRandom } from './seeded-random.js';
import type { StateStoreServer } from './state-store/state-store-server.js';
import type { VirtualClock } from './virtual-clock.js';

/** A deployment that is simulated, as faults see it; they don't depend on how it is put together. */
export interface SimulatedDeployment {
  readonly clock: VirtualClock;
  readonly random: SeededRandom;
  readonly stateStore: StateStoreServer;
  readonly cloud: Cloud;
  readonly checker: RuleChecker;
  readonly observedEvents: ObservedEvents;
  readonly processes: ControllerProcesses;
  readonly connectionFaults: ConnectionFaults;
  readonly machineFaults: MachineFaults;
  /** Hosts of the controllers. */
  readonly hosts: readonly string[];
  /** Workers of the machines that are up. */
  readonly workers: Worker[];
  /** The host that leads, as it believes itself. */
  readonly leader: string | null;
  /** No new faults from then on. */
  readonly faultsStopped: boolean;
}
