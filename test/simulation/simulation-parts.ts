/** Creates the parts of a simulation from its deployment and platform settings. */
import type { Logger } from '../../src/controller/runtime/runtime.js';
import type { Platform } from '../../src/controller/settings/platform.js';
import type { Deployment } from './deployments/deployment.js';
import type { FaultRates } from './faults/fault-rates.js';
import { Cloud } from './machines/cloud.js';
import type { MachineContext, WorkerSettings } from './machines/machine-context.js';
import { Network } from './network.js';
import type { SeededRandom } from './seeded-random.js';
import { StateStoreServer } from './state-store/state-store-server.js';
import type { VirtualClock } from './virtual-clock.js';

/**
 * Maximum time from the arrival of a delayed transaction to its commit, as a multiple of the
 * duration of a worker's lease. A delayed transaction gets no response.
 */
const MAX_WRITE_DELAY_LEASES = 0.6;
/** Maximum delay of a duplicated request, as a multiple of the duration of a worker's lease. */
const MAX_DUPLICATE_DELAY_LEASES = 3;
/** Boot time of the machines that exist from the start, in milliseconds. */
const INITIAL_BOOT_MS = 100;

/** A logger that discards all lines. */
export const silentLog: Logger = {
  info: () => undefined,
  debug: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Creates the network, which duplicates POST requests at the given rate. */
export function createNetwork(
  clock: VirtualClock,
  random: SeededRandom,
  { workers }: Platform,
  rates: FaultRates,
): Network {
  const network = new Network(clock, random);
  network.duplicated = rates.duplicated;
  network.maxDuplicateDelayMs = workers.leaseS * 1000 * MAX_DUPLICATE_DELAY_LEASES;
  return network;
}

/** Creates the state store with the current limits from the platform settings. */
export function createStateStore(
  clock: VirtualClock,
  random: SeededRandom,
  network: Network,
  { stateStoreAddr: address, stateLimits, workers }: Platform,
  { pageSize, firstRevision = 0, retainedChanges }: Deployment,
): StateStoreServer {
  const store = new StateStoreServer(
    ...([clock, random, network, address, stateLimits, pageSize] as const),
    ...([firstRevision, retainedChanges] as const),
  );
  store.maxWriteDelayMs = workers.leaseS * 1000 * MAX_WRITE_DELAY_LEASES;
  return store;
}

/** Creates the cloud and the deployment's initial machines. */
export function createCloud(
  context: MachineContext,
  { types, capacity, machines }: Deployment,
  { cloudAddr: address, cloudLimits }: Platform,
  rates: FaultRates,
): Cloud {
  const lagMs = cloudLimits.listLagS * 1000;
  const cloud = new Cloud(context, address, types, capacity, lagMs, rates.bootFailures);
  for (const { type: typeName, zone, spot, count } of machines) {
    const type = types.find((candidate) => candidate.name === typeName);
    if (type === undefined)
      throw new Error(
        `the deployment has machines of type ${typeName}, but its type list does not contain that type`,
      );
    for (let i = 0; i < count; i++) cloud.addMachine(type, zone, spot, INITIAL_BOOT_MS);
  }
  return cloud;
}

/**
 * Returns the intervals and time limits of the workers, converted from the platform settings to ms.
 */
export function workerSettings({ workers }: Platform): WorkerSettings {
  return {
    heartbeatIntervalMs: workers.heartbeatIntervalS * 1000,
    leaseMs: workers.leaseS * 1000,
    maxGangWaitMs: workers.gangFetchWaitS * 1000,
    gangPeerExitMs: workers.gangPeerExitS * 1000,
  };
}
