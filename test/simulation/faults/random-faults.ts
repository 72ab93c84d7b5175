/** Faults of every kind at random times. */
import type { Worker } from '../machines/worker.js';
import type { SimulatedDeployment } from '../simulated-deployment.js';

/** Time from the interruption notice of a spot instance to its reclamation, in milliseconds. */
const INTERRUPTION_NOTICE_MS = 10_000;
/** Time from the kill of a controller to its restart, unless a shorter time is drawn, in milliseconds. */
const RESTART_MS = 6000;

/** The random parameters of a fault. */
interface FaultDraw {
  host: string;
  worker: Worker | undefined;
  durationMs: number;
  restartMs: number;
}

type RandomFault = (simulation: SimulatedDeployment, draw: FaultDraw) => void;

/** The kinds of faults; all are equally likely. */
const RANDOM_FAULTS: readonly RandomFault[] = [
  ({ processes }, { host, restartMs }) => processes.kill(host, restartMs),
  ({ processes, hosts }, { restartMs }) => hosts.forEach((h) => processes.kill(h, restartMs)),
  ({ stateStore, random }) => stateStore.outage(random.between(1000, 30_000)),
  ({ stateStore }, { host, durationMs }) => stateStore.refuse(host, durationMs),
  ({ connectionFaults }, { host, durationMs }) =>
    connectionFaults.cutFor(host, 'state', durationMs),
  ({ connectionFaults }, { host, durationMs }) => connectionFaults.cutFromWorkers(host, durationMs),
  ({ connectionFaults }, { host, durationMs }) => connectionFaults.cutFromPeers(host, durationMs),
  cutWorker,
  ({ random }, { worker }) => worker?.hang(random.between(1000, 60_000)),
  (_, { worker }) => worker?.die(),
  ({ random }, { worker }) => worker?.restart(random.between(100, 600)),
  blockInboundOfWorker,
  ({ connectionFaults }, { host, durationMs }) => connectionFaults.isolate(host, durationMs),
  ({ processes }) => processes.killElected(),
  ({ processes }, { host, durationMs }) => processes.freeze(host, durationMs),
  ({ stateStore }, { durationMs }) => stateStore.slowDown(durationMs),
  ({ connectionFaults }, { durationMs }) => connectionFaults.refusePeers(durationMs),
  ({ machineFaults }, { durationMs }) => machineFaults.cut(0.3, durationMs),
  ({ processes, random }) => processes.rollingRestart(random.between(2000, 15_000)),
  interruptSpotMachine,
];

/** Injects random faults, `meanIntervalMs` apart on average, until `faultsStopped` is set. */
export function injectRandomFaults(simulation: SimulatedDeployment, meanIntervalMs: number): void {
  const { clock, random } = simulation;
  clock.after(meanIntervalMs * random.between(0.3, 1.7), () => {
    if (simulation.faultsStopped) return;
    injectRandomFault(simulation);
    injectRandomFaults(simulation, meanIntervalMs);
  });
}

function injectRandomFault(simulation: SimulatedDeployment): void {
  const { random, hosts, workers } = simulation;
  const draw: FaultDraw = {
    host: random.pick(hosts),
    worker: workers.length > 0 ? random.pick(workers) : undefined,
    durationMs: random.between(1000, 45_000),
    restartMs: random.next() < 0.3 ? random.between(100, 600) : RESTART_MS,
  };
  random.pick(RANDOM_FAULTS)(simulation, draw);
}

function cutWorker(
  { connectionFaults, hosts }: SimulatedDeployment,
  { worker, durationMs }: FaultDraw,
): void {
  if (worker === undefined) return;
  for (const host of hosts) connectionFaults.cutFor(host, worker.id, durationMs);
}

function blockInboundOfWorker(
  { connectionFaults }: SimulatedDeployment,
  { worker, durationMs }: FaultDraw,
): void {
  if (worker !== undefined) connectionFaults.blockInbound(worker, durationMs);
}

function interruptSpotMachine({ cloud, clock }: SimulatedDeployment, { worker }: FaultDraw): void {
  if (worker?.spot !== true) return;
  worker.noticeInterruption(INTERRUPTION_NOTICE_MS);
  clock.after(INTERRUPTION_NOTICE_MS, () => cloud.reclaim(worker.id));
}
