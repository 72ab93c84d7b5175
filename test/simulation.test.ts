/**
 * The whole service in the simulation: without faults, under random faults, and with a leader that is cut
 * off from all workers.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { smallDeployment } from './simulation/deployments/small.js';
import { frequentFaults, noFaults, type FaultRates } from './simulation/faults/fault-rates.js';
import { Simulation } from './simulation/simulation.js';

/** Time within which all faults end once no new ones start. */
const LONGEST_FAULT_MS = 60_000;
/** Time without new faults within which all jobs have to end. */
const RECOVERY_MS = 600_000;

const JOBS = 30;
/** Jobs are submitted from the start until this fraction of the time with faults has passed. */
const SUBMISSION_SHARE = 0.8;
/** Share of the jobs that are cancelled. */
const CANCELLED_SHARE = 0.15;
/** Longest time from a job's submission to its cancellation. */
const CANCELLED_WITHIN_MS = 40_000;

/** Id of a job that is never submitted. */
const UNKNOWN_JOB = 'req-999999';
/** Time from the response to a query about `UNKNOWN_JOB` to the next query. */
const UNKNOWN_JOB_QUERY_MS = 7000;

function submitRandomJobs(simulation: Simulation, withinMs: number): void {
  const { clock, random } = simulation;
  for (let i = 0; i < JOBS; i++)
    clock.after(random.between(0, withinMs), () => {
      const cancelled = random.next() < CANCELLED_SHARE;
      const cancelAfterMs = cancelled ? random.between(0, CANCELLED_WITHIN_MS) : null;
      simulation.submit(simulation.randomJob(), cancelAfterMs);
    });
}

/** Repeatedly queries the status of a job that nobody submitted. */
function queryUnknownJob(simulation: Simulation): void {
  const { checker, clock } = simulation;
  simulation.sendRequest('GET', `/submissions/${UNKNOWN_JOB}`, undefined, (status, state) => {
    checker.responseReceived(UNKNOWN_JOB, status, state, false);
    clock.after(UNKNOWN_JOB_QUERY_MS, () => queryUnknownJob(simulation));
  });
}

/** Runs jobs under faults for `faultsMs`, then without new faults; all accepted jobs have to end. */
function playToCompletion(seed: number, faults: FaultRates, faultsMs: number): void {
  const simulation = new Simulation(smallDeployment, seed, faults);
  const { checker } = simulation;
  submitRandomJobs(simulation, faultsMs * SUBMISSION_SHARE);
  queryUnknownJob(simulation);
  simulation.play(faultsMs);
  simulation.stopFaults(LONGEST_FAULT_MS);
  simulation.play(RECOVERY_MS);
  assert.deepEqual(checker.jobs.unfinished(), [], 'accepted jobs that never finished');
  assert.deepEqual(checker.jobs.neglected(), []);
  assert.ok(
    checker.startedTasks > JOBS / 2,
    `only ${checker.startedTasks} tasks started, expected more than ${JOBS / 2}`,
  );
}

/** Cuts the connections between the leader and all workers; the other controllers still reach the workers. */
function playLeaderCutFromWorkers(seed: number): void {
  const simulation = new Simulation(smallDeployment, seed, noFaults);
  for (let i = 0; i < 10; i++) simulation.submit(simulation.randomJob(), null);
  simulation.play(15_000);
  const { leader } = simulation;
  assert.ok(leader !== null);
  simulation.connectionFaults.cutFromWorkers(leader, 40_000);
  simulation.play(60_000);
  assert.notEqual(simulation.leader, leader);
  assert.equal(simulation.expiredLeases, 0);
}

describe('the whole service in the simulation', () => {
  it('violates no rule and finishes all accepted jobs without faults', () => {
    playToCompletion(1, noFaults, 200_000);
  });

  // Guards against a failure in the fleet run "apart": only the connections between the leader and the
  // workers failed. The leader kept its own lease, the workers' leases expired, and 600 tasks were lost.
  it("fails over before a worker's lease expires when workers reach every controller but the leader", () => {
    for (let seed = 1; seed <= 4; seed++) playLeaderCutFromWorkers(seed);
  });

  for (let seed = 1; seed <= 10; seed++)
    it(`violates no rule and finishes all accepted jobs under random faults, seed ${seed}`, () => {
      playToCompletion(seed, frequentFaults, 300_000);
    });
});
