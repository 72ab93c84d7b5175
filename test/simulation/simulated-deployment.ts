/** The interface through which random faults and their observers access a simulation. */
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

/**
 * A simulated deployment as seen by random faults and the observer of fault combinations, which do
 * not depend on how a simulation is assembled.
 */
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
  /** Names of the hosts that run a controller. */
  readonly hosts: readonly string[];
  /** Workers of the machines that are up. */
  readonly workers: Worker[];
  /** The first host whose controller considers itself the leader; null if there is none. */
  readonly leader: string | null;
  /** Whether the injection of new faults has been stopped. */
  readonly faultsStopped: boolean;
}
