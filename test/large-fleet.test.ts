/** Thousands of machines: the rules, the service and its cost, while whole parts of the deployment fail. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { playLargeFleet } from './simulation/scenarios/large-fleet-scenario.js';

const MACHINES = 4500;
const SEEDS = Number(process.env['LARGE_FLEET_SEEDS'] ?? 1);
const FIRST_SEED = Number(process.env['LARGE_FLEET_FIRST'] ?? 1);
/** Time after the faults in which all jobs have to end. */
const RECOVERY_MS = 300_000;

describe('a fleet of thousands of machines', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++)
    it(`keeps the rules and finishes all jobs under faults, seed ${seed}`, () => {
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
      simulation.play(RECOVERY_MS);
      assert.deepEqual(checker.jobs.unfinished(), []);
      assert.deepEqual(checker.jobs.neglected(), []);
    });
});
