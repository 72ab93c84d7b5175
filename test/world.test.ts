import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { small, type Scenario } from './world/scenario.js';
import { World, type FaultRates } from './world/world.js';

const quiet: FaultRates = { everyMs: Infinity, doubled: 0, errors: 0, bootFails: 0 };
const rough: FaultRates = { everyMs: 9000, doubled: 0.02, errors: 0.03, bootFails: 0.1 };

/** No trouble lasts longer than this. */
const LONGEST_MS = 60_000;

function day(
  scenario: Scenario,
  seed: number,
  faults: FaultRates,
  jobs: number,
  ms: number,
): World {
  const world = new World(scenario, seed, faults);
  for (let i = 0; i < jobs; i++) {
    world.sim.after(world.sim.between(0, ms * 0.8), () => {
      const cancel = world.sim.random() < 0.15 ? world.sim.between(0, 40_000) : null;
      world.user(world.randomJob(), cancel);
    });
  }
  // Somebody asks about jobs that nobody submitted.
  const stranger = (): void => {
    world.ask('GET', '/submissions/req-999999', undefined, (status, state) => {
      world.rules.answered('req-999999', status, state, false);
      world.sim.after(7000, stranger);
    });
  };
  stranger();
  world.play(ms);
  world.calmDown(LONGEST_MS);
  world.play(600_000);
  assert.deepEqual(world.rules.unfinished(), [], 'accepted jobs that never finished');
  assert.deepEqual(world.rules.neglected(), []);
  assert.ok(world.rules.started > jobs / 2, 'hardly anything ran');
  return world;
}

describe('the whole service in a simulated world', () => {
  it('serves a quiet day', () => {
    day(small, 1, quiet, 30, 200_000);
  });

  // Fleet day "apart": the leader lost its workers alone, kept its lease, and 600 tasks ended with theirs.
  it('hands over when the workers reach the other nodes and not the leader', () => {
    for (let seed = 1; seed <= 4; seed++) {
      const world = new World(small, seed, quiet);
      for (let i = 0; i < 10; i++) world.user(world.randomJob(), null);
      world.play(15_000);
      const { leader } = world;
      assert.ok(leader !== null);
      world.connectionFaults.cutFromWorkers(leader, 40_000);
      world.play(60_000);
      assert.notEqual(world.leader, leader);
      assert.equal(world.leasesLost, 0);
    }
  });

  for (let seed = 1; seed <= 10; seed++)
    it(`keeps the rules and finishes what it accepted under troubles, seed ${seed}`, () => {
      day(small, seed, rough, 30, 300_000);
    });
});
