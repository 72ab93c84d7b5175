/**
 * A fleet of thousands of machines in which large parts of the deployment fail: no rule may be violated,
 * all jobs have to end, and the number of state store writes is bounded.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { playLargeFleet } from './simulation/scenarios/large-fleet-scenario.js';

const MACHINES = 4500;
const SEEDS = Number(process.env['LARGE_FLEET_SEEDS'] ?? 1);
const FIRST_SEED = Number(process.env['LARGE_FLEET_FIRST'] ?? 1);
/** Time after the last fault within which all jobs have to end. */
const RECOVERY_MS = 300_000;

describe('a fleet of thousands of machines', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++)
    it(`violates no rule and finishes all jobs under faults, seed ${seed}`, () => {
      const simulation = playLargeFleet(MACHINES, seed);
      const { cloud, checker, stateStore } = simulation;
      assert.ok(
        cloud.workers.length > MACHINES * 0.6,
        `only ${cloud.workers.length} machines are left, expected more than ${MACHINES * 0.6}`,
      );
      assert.ok(
        checker.startedTasks > MACHINES,
        `only ${checker.startedTasks} tasks started, expected more than ${MACHINES}`,
      );
      // The leader packs records into pages: apart from the three puts per job, one put covers several tasks.
      assert.ok(
        stateStore.puts < checker.startedTasks,
        `${stateStore.puts} puts for ${checker.startedTasks} started tasks, expected fewer puts than tasks`,
      );
      simulation.stopFaults(30_000);
      simulation.play(RECOVERY_MS);
      assert.deepEqual(checker.jobs.unfinished(), []);
      assert.deepEqual(checker.jobs.neglected(), []);
    });
});
