import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { smallDeployment, type Deployment } from './simulation/deployments/deployment.js';
import { Simulation, type FaultRates } from './simulation/simulation.js';

const quiet: FaultRates = {
  meanIntervalMs: Infinity,
  duplicated: 0,
  taskFailures: 0,
  bootFailures: 0,
};
const rough: FaultRates = {
  meanIntervalMs: 9000,
  duplicated: 0.02,
  taskFailures: 0.03,
  bootFailures: 0.1,
};

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
    simulation.clock.after(simulation.clock.between(0, ms * 0.8), () => {
      const cancel = simulation.clock.random() < 0.15 ? simulation.clock.between(0, 40_000) : null;
      simulation.submit(simulation.randomJob(), cancel);
    });
  }
  // Somebody asks about jobs that nobody submitted.
  const stranger = (): void => {
    simulation.sendRequest('GET', '/submissions/req-999999', undefined, (status, state) => {
      simulation.checker.responseReceived('req-999999', status, state, false);
      simulation.clock.after(7000, stranger);
    });
  };
  stranger();
  simulation.play(ms);
  simulation.stopFaults(LONGEST_MS);
  simulation.play(600_000);
  assert.deepEqual(simulation.checker.unfinishedJobs(), [], 'accepted jobs that never finished');
  assert.deepEqual(simulation.checker.neglectedJobs(), []);
  assert.ok(simulation.checker.startedTasks > jobs / 2, 'hardly anything ran');
  return simulation;
}

describe('the whole service in a simulated world', () => {
  it('serves a quiet day', () => {
    day(smallDeployment, 1, quiet, 30, 200_000);
  });

  // Fleet day "apart": the leader lost its workers alone, kept its lease, and 600 tasks ended with theirs.
  it('hands over when the workers reach the other nodes and not the leader', () => {
    for (let seed = 1; seed <= 4; seed++) {
      const simulation = new Simulation(smallDeployment, seed, quiet);
      for (let i = 0; i < 10; i++) simulation.submit(simulation.randomJob(), null);
      simulation.play(15_000);
      const { leader } = simulation;
      assert.ok(leader !== null);
      simulation.connectionFaults.cutFromWorkers(leader, 40_000);
      simulation.play(60_000);
      assert.notEqual(simulation.leader, leader);
      assert.equal(simulation.expiredLeases, 0);
    }
  });

  for (let seed = 1; seed <= 10; seed++)
    it(`keeps the rules and finishes what it accepted under troubles, seed ${seed}`, () => {
      day(smallDeployment, seed, rough, 30, 300_000);
    });
});
