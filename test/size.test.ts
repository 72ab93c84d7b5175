import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { grown } from './world/scenario.js';
import { World } from './world/world.js';

/** Machines at most; more would only make the test slow. */
const MACHINES = 200;
/** Mean time between two jobs: as many as keep most of the machines busy. */
const EVERY_MS = 1100;

interface Spent {
  puts: number;
  requests: number;
  started: number;
}

function spent(world: World): Spent {
  const { puts, requests } = world.state;
  return { puts, requests, started: world.rules.started };
}

/** A day of many machines with jobs coming all the time, and the troubles given, each at its time. */
function day(seed: number, ms: number, troubles: [number, (w: World) => void][]): World {
  const quiet = { everyMs: Infinity, doubled: 0.002, errors: 0.005, bootFails: 0.02 };
  const world = new World(grown(MACHINES), seed, quiet);
  for (let i = 0; i < 30; i++) world.user(world.randomJob(), null);
  const next = (): void => {
    if (world.sim.now > ms) return;
    world.user(world.randomJob(), world.sim.random() < 0.04 ? 20_000 : null);
    world.sim.after(world.sim.between(0.3, 1.7) * EVERY_MS, next);
  };
  next();
  for (const [at, trouble] of troubles) world.sim.after(at, () => trouble(world));
  world.play(ms);
  return world;
}

/** Troubles over, all that was accepted is done, and nobody was neglected. */
function ends(world: World): void {
  world.calmDown(60_000);
  world.play(400_000);
  assert.deepEqual(world.rules.unfinished(), []);
  assert.deepEqual(world.rules.neglected(), []);
}

const leader = (w: World): string => w.leader ?? 'kiln-0';

describe('the service at size', () => {
  it('spends little at the state service and the cloud, and stays within their limits', () => {
    let from: Spent = { puts: 0, requests: 0, started: 0 };
    const world = day(1, 120_000, [[60_000, (w) => (from = spent(w))]]);
    const to = spent(world);
    const tasks = to.started - from.started;
    assert.ok(tasks > 300, `only ${tasks} tasks started`);
    // Records are packed: a put serves several tasks, beside the three that each job costs.
    assert.ok((to.puts - from.puts) / tasks < 2, `${(to.puts - from.puts) / tasks} puts a task`);
    assert.ok((to.requests - from.requests) / 60 < 80);
    assert.equal(world.state.tooMany, 0);
    ends(world);
  });

  // What the operators expect of a fleet's day, one trouble after the other.
  it('lives through losses of controllers, and loses no lease of a machine that is well', () => {
    const world = day(2, 240_000, [
      [30_000, (w) => w.connectionFaults.cutFromWorkers(leader(w), 37_000)],
      [80_000, (w) => w.processes.freeze(leader(w), 28_000)],
      [120_000, (w) => w.connectionFaults.refusePeers(30_000)],
      [130_000, (w) => w.connectionFaults.isolate(leader(w), 42_000)],
      [180_000, (w) => w.processes.roll(9000)],
    ]);
    assert.equal(world.leasesLost, 0);
    ends(world);
  });

  it('lives through mass losses of machines, an outage, slow answers and crashes of all', () => {
    const world = day(3, 240_000, [
      [30_000, (w) => w.machineFaults.cut(0.2, 47_000)],
      [33_000, (w) => w.kill(leader(w), 6000)],
      [90_000, (w) => w.machineFaults.kill(0.07)],
      [92_000, (w) => w.machineFaults.takeSpot(0.6, 8000)],
      [110_000, (w) => w.state.slow(60_000)],
      [150_000, (w) => w.state.outage(10_000)],
      [
        156_000,
        (w) => ['kiln-0', 'kiln-1', 'kiln-2', 'kiln-3', 'kiln-4'].forEach((h) => w.kill(h, 6000)),
      ],
      [200_000, (w) => w.processes.killElected()],
    ]);
    ends(world);
  });
});
