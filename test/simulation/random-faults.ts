/** Faults of every kind at random times. */
import type { Worker } from './worker.js';
import type { Simulation } from './simulation.js';

/** Spot machines are taken so long after the notice. */
const RECALL_MS = 10_000;
const RESTART_MS = 6000;

/** What is drawn for a fault. */
interface Draw {
  host: string;
  worker: Worker | undefined;
  durationMs: number;
  restartMs: number;
}

type RandomFault = (simulation: Simulation, draw: Draw) => void;

/** Kinds of faults, each as likely as the others. */
const RANDOM_FAULTS: readonly RandomFault[] = [
  ({ processes }, { host, restartMs }) => processes.kill(host, restartMs),
  ({ processes, hosts }, { restartMs }) => hosts.forEach((h) => processes.kill(h, restartMs)),
  ({ state, sim }) => state.outage(sim.between(1000, 30_000)),
  ({ state }, { host, durationMs }) => state.refuse(host, durationMs),
  ({ connectionFaults }, { host, durationMs }) =>
    connectionFaults.cutFor(host, 'state', durationMs),
  ({ connectionFaults }, { host, durationMs }) => connectionFaults.cutFromWorkers(host, durationMs),
  ({ connectionFaults }, { host, durationMs }) => connectionFaults.cutFromPeers(host, durationMs),
  cutWorker,
  ({ sim }, { worker }) => worker?.hang(sim.between(1000, 60_000)),
  (_, { worker }) => worker?.die(),
  ({ sim }, { worker }) => worker?.restart(sim.between(100, 600)),
  deafenWorker,
  ({ connectionFaults }, { host, durationMs }) => connectionFaults.isolate(host, durationMs),
  ({ processes }) => processes.killElected(),
  ({ processes }, { host, durationMs }) => processes.freeze(host, durationMs),
  ({ state }, { durationMs }) => state.slow(durationMs),
  ({ connectionFaults }, { durationMs }) => connectionFaults.refusePeers(durationMs),
  ({ machineFaults }, { durationMs }) => machineFaults.cut(0.3, durationMs),
  ({ processes, sim }) => processes.roll(sim.between(2000, 15_000)),
  recallSpotMachine,
];

/** Injects a fault every now and then, until the simulation is calm. */
export function injectRandomFaults(simulation: Simulation, everyMs: number): void {
  const { sim } = simulation;
  sim.after(everyMs * sim.between(0.3, 1.7), () => {
    if (simulation.calm) return;
    injectRandomFault(simulation);
    injectRandomFaults(simulation, everyMs);
  });
}

function injectRandomFault(simulation: Simulation): void {
  const { sim, hosts, workers } = simulation;
  const draw: Draw = {
    host: sim.pick(hosts),
    worker: workers.length > 0 ? sim.pick(workers) : undefined,
    durationMs: sim.between(1000, 45_000),
    restartMs: sim.random() < 0.3 ? sim.between(100, 600) : RESTART_MS,
  };
  sim.pick(RANDOM_FAULTS)(simulation, draw);
}

function cutWorker({ connectionFaults, hosts }: Simulation, { worker, durationMs }: Draw): void {
  if (worker === undefined) return;
  for (const host of hosts) connectionFaults.cutFor(host, worker.id, durationMs);
}

function deafenWorker({ connectionFaults }: Simulation, { worker, durationMs }: Draw): void {
  if (worker !== undefined) connectionFaults.deafen(worker, durationMs);
}

function recallSpotMachine({ cloud, sim }: Simulation, { worker }: Draw): void {
  if (worker?.spot !== true) return;
  worker.warn(RECALL_MS);
  sim.after(RECALL_MS, () => cloud.take(worker.id));
}
