/** Thousands of machines: rules, service and what it costs, while whole parts of the deployment fail. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { playLargeFleet } from './simulation/deployments/large-fleet.js';

const MACHINES = 4500;
const SEEDS = Number(process.env['LARGE_FLEET_SEEDS'] ?? 1);
const FIRST_SEED = Number(process.env['LARGE_FLEET_FIRST'] ?? 1);
/** After the faults: until all work is done. */
const REST_MS = 300_000;

describe('a fleet of thousands of machines', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++)
    it(`keeps the rules, forgets and neglects no job (seed ${seed})`, () => {
      const simulation = playLargeFleet(MACHINES, seed);
      const { cloud, checker, stateStore } = simulation;
      assert.ok(cloud.workers.length > MACHINES * 0.6, `${cloud.workers.length} machines are left`);
      assert.ok(checker.startedTasks > MACHINES, `only ${checker.startedTasks} tasks started`);
      // The leader's records are packed: a put serves several tasks, beside the three of each job.
      assert.ok(
        stateStore.puts < checker.startedTasks,
        `${stateStore.puts} puts for ${checker.startedTasks} starts`,
      );
      simulation.stopFaults(30_000);
      simulation.play(REST_MS);
      assert.deepEqual(checker.jobs.unfinished(), []);
      assert.deepEqual(checker.jobs.neglected(), []);
    });
});
