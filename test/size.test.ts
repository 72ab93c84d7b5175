import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { mediumFleet } from './simulation/deployments/deployment.js';
import { Simulation } from './simulation/simulation.js';

/** Machines at most; more would only make the test slow. */
const MACHINES = 200;
/** Mean time between two jobs: as many as keep most of the machines busy. */
const EVERY_MS = 1100;

interface Spent {
  puts: number;
  requests: number;
  started: number;
}

function spent(simulation: Simulation): Spent {
  const { puts, requests } = simulation.stateStore;
  return { puts, requests, started: simulation.checker.startedTasks };
}

/** A day of many machines with jobs coming all the time, and the faults given, each at its time. */
function day(seed: number, ms: number, faults: [number, (w: Simulation) => void][]): Simulation {
  const quiet = {
    meanIntervalMs: Infinity,
    duplicated: 0.002,
    taskFailures: 0.005,
    bootFailures: 0.02,
  };
  const simulation = new Simulation(mediumFleet(MACHINES), seed, quiet);
  for (let i = 0; i < 30; i++) simulation.submit(simulation.randomJob(), null);
  const next = (): void => {
    if (simulation.clock.now > ms) return;
    simulation.submit(simulation.randomJob(), simulation.random.next() < 0.04 ? 20_000 : null);
    simulation.clock.after(simulation.random.between(0.3, 1.7) * EVERY_MS, next);
  };
  next();
  for (const [at, fault] of faults) simulation.clock.after(at, () => fault(simulation));
  simulation.play(ms);
  return simulation;
}

/** Faults over, all that was accepted is done, and nobody was neglected. */
function ends(simulation: Simulation): void {
  simulation.stopFaults(60_000);
  simulation.play(400_000);
  assert.deepEqual(simulation.checker.unfinishedJobs(), []);
  assert.deepEqual(simulation.checker.neglectedJobs(), []);
}

const leader = (w: Simulation): string => w.leader ?? 'kiln-0';

describe('the service at size', () => {
  it('spends little at the state service and the cloud, and stays within their limits', () => {
    let from: Spent = { puts: 0, requests: 0, started: 0 };
    const simulation = day(1, 120_000, [[60_000, (w) => (from = spent(w))]]);
    const to = spent(simulation);
    const tasks = to.started - from.started;
    assert.ok(tasks > 300, `only ${tasks} tasks started`);
    // Records are packed: a put serves several tasks, beside the three that each job costs.
    assert.ok((to.puts - from.puts) / tasks < 2, `${(to.puts - from.puts) / tasks} puts a task`);
    assert.ok((to.requests - from.requests) / 60 < 80);
    assert.equal(simulation.stateStore.rateLimited, 0);
    ends(simulation);
  });

  // What the operators expect of a fleet's day, one fault after the other.
  it('lives through losses of controllers, and loses no lease of a machine that is well', () => {
    const simulation = day(2, 240_000, [
      [30_000, (w) => w.connectionFaults.cutFromWorkers(leader(w), 37_000)],
      [80_000, (w) => w.processes.freeze(leader(w), 28_000)],
      [120_000, (w) => w.connectionFaults.refusePeers(30_000)],
      [130_000, (w) => w.connectionFaults.isolate(leader(w), 42_000)],
      [180_000, (w) => w.processes.rollingRestart(9000)],
    ]);
    assert.equal(simulation.expiredLeases, 0);
    ends(simulation);
  });

  it('lives through mass losses of machines, an outage, slow answers and crashes of all', () => {
    const simulation = day(3, 240_000, [
      [30_000, (w) => w.machineFaults.cut(0.2, 47_000)],
      [33_000, (w) => w.kill(leader(w), 6000)],
      [90_000, (w) => w.machineFaults.kill(0.07)],
      [92_000, (w) => w.machineFaults.reclaimSpot(0.6, 8000)],
      [110_000, (w) => w.stateStore.slowDown(60_000)],
      [150_000, (w) => w.stateStore.outage(10_000)],
      [
        156_000,
        (w) => ['kiln-0', 'kiln-1', 'kiln-2', 'kiln-3', 'kiln-4'].forEach((h) => w.kill(h, 6000)),
      ],
      [200_000, (w) => w.processes.killElected()],
    ]);
    ends(simulation);
  });
});
