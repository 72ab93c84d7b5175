/** Faults of every kind at random times. */
import type { Worker } from '../machines/worker.js';
import type { Simulation } from '../simulation.js';

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
  ({ stateStore, clock }) => stateStore.outage(clock.between(1000, 30_000)),
  ({ stateStore }, { host, durationMs }) => stateStore.refuse(host, durationMs),
  ({ connectionFaults }, { host, durationMs }) =>
    connectionFaults.cutFor(host, 'state', durationMs),
  ({ connectionFaults }, { host, durationMs }) => connectionFaults.cutFromWorkers(host, durationMs),
  ({ connectionFaults }, { host, durationMs }) => connectionFaults.cutFromPeers(host, durationMs),
  cutWorker,
  ({ clock }, { worker }) => worker?.hang(clock.between(1000, 60_000)),
  (_, { worker }) => worker?.die(),
  ({ clock }, { worker }) => worker?.restart(clock.between(100, 600)),
  deafenWorker,
  ({ connectionFaults }, { host, durationMs }) => connectionFaults.isolate(host, durationMs),
  ({ processes }) => processes.killElected(),
  ({ processes }, { host, durationMs }) => processes.freeze(host, durationMs),
  ({ stateStore }, { durationMs }) => stateStore.slowDown(durationMs),
  ({ connectionFaults }, { durationMs }) => connectionFaults.refusePeers(durationMs),
  ({ machineFaults }, { durationMs }) => machineFaults.cut(0.3, durationMs),
  ({ processes, clock }) => processes.rollingRestart(clock.between(2000, 15_000)),
  recallSpotMachine,
];

/** Injects a fault every now and then, until the simulation is calm. */
export function injectRandomFaults(simulation: Simulation, everyMs: number): void {
  const { clock } = simulation;
  clock.after(everyMs * clock.between(0.3, 1.7), () => {
    if (simulation.faultsStopped) return;
    injectRandomFault(simulation);
    injectRandomFaults(simulation, everyMs);
  });
}

function injectRandomFault(simulation: Simulation): void {
  const { clock, hosts, workers } = simulation;
  const draw: Draw = {
    host: clock.pick(hosts),
    worker: workers.length > 0 ? clock.pick(workers) : undefined,
    durationMs: clock.between(1000, 45_000),
    restartMs: clock.random() < 0.3 ? clock.between(100, 600) : RESTART_MS,
  };
  clock.pick(RANDOM_FAULTS)(simulation, draw);
}

function cutWorker({ connectionFaults, hosts }: Simulation, { worker, durationMs }: Draw): void {
  if (worker === undefined) return;
  for (const host of hosts) connectionFaults.cutFor(host, worker.id, durationMs);
}

function deafenWorker({ connectionFaults }: Simulation, { worker, durationMs }: Draw): void {
  if (worker !== undefined) connectionFaults.blockInbound(worker, durationMs);
}

function recallSpotMachine({ cloud, clock }: Simulation, { worker }: Draw): void {
  if (worker?.spot !== true) return;
  worker.noticeInterruption(RECALL_MS);
  clock.after(RECALL_MS, () => cloud.reclaim(worker.id));
}
