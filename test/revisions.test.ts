/** Failovers when the state store has counted so many changes that terms are large. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { smallDeployment } from './simulation/deployments/small.js';
import { noFaults } from './simulation/faults/fault-rates.js';
import { failovers, longJobs } from './simulation/scenarios/fault-scenario.js';
import { Simulation } from './simulation/simulation.js';

const JOB_COUNT = 6;
const TASKS_PER_JOB = 3;
/** Jobs run from before the failover until after it. */
const RUN_S = 40;
const FAILOVER_AT_MS = 20_000;
/** Time after the failover in which all jobs end: no job waits 90 s beside room, and then it runs. */
const END_MS = 140_000;

/** Plays jobs before and after a failover, the state store having counted `firstRevision` changes. */
function playFailover(firstRevision: number): Simulation {
  const simulation = new Simulation({ ...smallDeployment, firstRevision }, 1, noFaults);
  const submitJobs = (): void => {
    const job = { ...longJobs, estimatedRunS: RUN_S, tasks: TASKS_PER_JOB };
    for (let i = 0; i < JOB_COUNT; i++) simulation.submit(simulation.jobWith(job), null);
  };
  submitJobs();
  simulation.play(FAILOVER_AT_MS);
  assert.ok(simulation.leader !== null);
  simulation.kill(simulation.leader, 5000);
  submitJobs();
  simulation.play(END_MS);
  return simulation;
}

// Guards against attempt numbers that are rounded: after a failover at 2^31 changes each task was stopped at the
// heartbeat after its start, and no job ended any more.
describe('tasks complete after a failover', () => {
  for (const exponent of [31, 32, 33, 41])
    it(`when the state store has counted 2^${exponent} changes`, () => {
      const simulation = playFailover(2 ** exponent);
      assert.ok(failovers(simulation) > 0);
      assert.deepEqual(simulation.checker.jobs.unfinished(), []);
      const taskCount = 2 * JOB_COUNT * TASKS_PER_JOB;
      assert.equal(simulation.checker.startedTasks, taskCount, 'each task starts once');
    });
});
