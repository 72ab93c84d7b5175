/** Work that a leader began and that is still open when its term ends. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { smallDeployment } from './simulation/deployments/small.js';
import { noFaults } from './simulation/faults/fault-rates.js';
import { failovers, longJobs } from './simulation/scenarios/fault-scenario.js';
import { Simulation } from './simulation/simulation.js';

const SEEDS = [1, 2, 3];
/** The cloud is out before the leader releases the machines, which are idle from the start. */
const CLOUD_OUTAGE_AT_MS = 5000;
const CLOUD_OUTAGE_MS = 500_000;
/** Time in which the leader decides to release idle machines. */
const IDLE_MS = 150_000;
const LEADER_CHANGES = 10;
/** The state store refuses each leader for this long, so that its lease ends and its process goes on. */
const REFUSAL_MS = 12_000;
const CHANGE_INTERVAL_MS = 20_000;
const JOB_COUNT = 12;
const RUN_S = 400;
/** Time after the outage in which requests that are still repeated would reach the cloud. */
const AFTER_OUTAGE_MS = 60_000;

/** Changes the leader ten times while the cloud is out, with jobs that run on the machines to be released. */
function playEndedTerms(seed: number): Simulation {
  const simulation = new Simulation(smallDeployment, seed, noFaults);
  const { cloud, clock, stateStore } = simulation;
  clock.after(CLOUD_OUTAGE_AT_MS, () => cloud.outage(CLOUD_OUTAGE_MS));
  simulation.play(IDLE_MS);
  assert.ok(cloud.releasesRefused > 0, 'no machine was to be released');
  for (let change = 0; change < LEADER_CHANGES; change++) {
    const { leader } = simulation;
    if (leader !== null) stateStore.refuse(leader, REFUSAL_MS);
    simulation.play(CHANGE_INTERVAL_MS);
    if (change > 0) continue;
    const job = { ...longJobs, estimatedRunS: RUN_S };
    for (let i = 0; i < JOB_COUNT; i++) simulation.submit(simulation.jobWith(job), null);
  }
  simulation.play(CLOUD_OUTAGE_AT_MS + CLOUD_OUTAGE_MS - clock.now + AFTER_OUTAGE_MS);
  return simulation;
}

// Guards against timers of a term that has ended: a release that an outage of the cloud held up was repeated when
// its controller led again, and deleted machines that ran jobs by then.
describe('a release of a term that has ended', () => {
  for (const seed of SEEDS)
    it(`deletes no machine that runs a job, seed ${seed}`, () => {
      const simulation = playEndedTerms(seed);
      assert.ok(failovers(simulation) >= LEADER_CHANGES / 2);
      assert.ok(simulation.checker.startedTasks > 0);
      assert.deepEqual(simulation.cloud.releasedWhileBusy, []);
    });
});
