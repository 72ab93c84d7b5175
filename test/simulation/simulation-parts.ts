/** How the parts of a simulation are made from the settings of its controllers. */
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

/** A transaction that gets no response is committed within so many leases of a worker. */
const MAX_WRITE_DELAY_LEASES = 0.6;
/** Copies of old messages come up to so many leases late. */
const MAX_DUPLICATE_DELAY_LEASES = 3;
/** Machines that are there at the start are up after this time. */
const INITIAL_BOOT_MS = 100;

/** A log that nobody reads. */
export const silentLog: Logger = {
  info: () => undefined,
  debug: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** The network, on which messages are duplicated at the rate given. */
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

/** The state store with the limits that the controllers know of. */
export function createStateStore(
  clock: VirtualClock,
  random: SeededRandom,
  network: Network,
  { stateStoreAddr: address, stateLimits, workers }: Platform,
  pageSize: number,
): StateStoreServer {
  const store = new StateStoreServer(clock, random, network, address, stateLimits, pageSize);
  store.maxWriteDelayMs = workers.leaseS * 1000 * MAX_WRITE_DELAY_LEASES;
  return store;
}

/** The cloud, with the machines that are up from the start. */
export function createCloud(
  context: MachineContext,
  { types, capacity, machines }: Deployment,
  { cloudAddr: address, cloudLimits }: Platform,
  rates: FaultRates,
): Cloud {
  const lagMs = cloudLimits.listLagS * 1000;
  const cloud = new Cloud(context, address, types, capacity, lagMs, rates.bootFailures);
  for (const { type: name, zone, spot, count } of machines) {
    const type = types.find((candidate) => candidate.name === name);
    if (type === undefined) throw new Error(`no machine type ${name}`);
    for (let i = 0; i < count; i++) cloud.addMachine(type, zone, spot, INITIAL_BOOT_MS);
  }
  return cloud;
}

/** The periods that the platform gives to workers. */
export function workerSettings({ workers }: Platform): WorkerSettings {
  return {
    heartbeatIntervalMs: workers.heartbeatIntervalS * 1000,
    leaseMs: workers.leaseS * 1000,
    gangWaitMs: workers.gangFetchWaitS * 1000,
    gangPeerExitMs: workers.gangPeerExitS * 1000,
  };
}
