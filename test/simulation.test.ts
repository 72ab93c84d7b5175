import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { small, type Deployment } from './simulation/deployment.js';
import { Simulation, type FaultRates } from './simulation/simulation.js';

const quiet: FaultRates = { everyMs: Infinity, doubled: 0, errors: 0, bootFails: 0 };
const rough: FaultRates = { everyMs: 9000, doubled: 0.02, errors: 0.03, bootFails: 0.1 };

/** No fault lasts longer than this. */
const LONGEST_MS = 60_000;

function day(
  deployment: Deployment,
  seed: number,
  faults: FaultRates,
  jobs: number,
  ms: number,
): Simulation {
  const simulation = new Simulation(deployment, seed, faults);
  for (let i = 0; i < jobs; i++) {
    simulation.sim.after(simulation.sim.between(0, ms * 0.8), () => {
      const cancel = simulation.sim.random() < 0.15 ? simulation.sim.between(0, 40_000) : null;
      simulation.user(simulation.randomJob(), cancel);
    });
  }
  // Somebody asks about jobs that nobody submitted.
  const stranger = (): void => {
    simulation.ask('GET', '/submissions/req-999999', undefined, (status, state) => {
      simulation.checker.answered('req-999999', status, state, false);
      simulation.sim.after(7000, stranger);
    });
  };
  stranger();
  simulation.play(ms);
  simulation.calmDown(LONGEST_MS);
  simulation.play(600_000);
  assert.deepEqual(simulation.checker.unfinished(), [], 'accepted jobs that never finished');
  assert.deepEqual(simulation.checker.neglected(), []);
  assert.ok(simulation.checker.started > jobs / 2, 'hardly anything ran');
  return simulation;
}

describe('the whole service in a simulated world', () => {
  it('serves a quiet day', () => {
    day(small, 1, quiet, 30, 200_000);
  });

  // Fleet day "apart": the leader lost its workers alone, kept its lease, and 600 tasks ended with theirs.
  it('hands over when the workers reach the other nodes and not the leader', () => {
    for (let seed = 1; seed <= 4; seed++) {
      const simulation = new Simulation(small, seed, quiet);
      for (let i = 0; i < 10; i++) simulation.user(simulation.randomJob(), null);
      simulation.play(15_000);
      const { leader } = simulation;
      assert.ok(leader !== null);
      simulation.connectionFaults.cutFromWorkers(leader, 40_000);
      simulation.play(60_000);
      assert.notEqual(simulation.leader, leader);
      assert.equal(simulation.leasesLost, 0);
    }
  });

  for (let seed = 1; seed <= 10; seed++)
    it(`keeps the rules and finishes what it accepted under troubles, seed ${seed}`, () => {
      day(small, seed, rough, 30, 300_000);
    });
});
