/** The whole service in the simulation: quiet, under random faults, and with a leader that no worker reaches. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { smallDeployment } from './simulation/deployments/small.js';
import { frequentFaults, noFaults, type FaultRates } from './simulation/faults/fault-rates.js';
import { Simulation } from './simulation/simulation.js';

/** No fault lasts longer than this. */
const LONGEST_FAULT_MS = 60_000;
/** Time without new faults in which all jobs have to end. */
const RECOVERY_MS = 600_000;

const JOBS = 30;
/** Jobs are submitted in this share of the time with faults. */
const SUBMISSION_SHARE = 0.8;
/** This share of the jobs is cancelled, within so long. */
const CANCELLED_SHARE = 0.15;
const CANCELLED_WITHIN_MS = 40_000;

const UNKNOWN_JOB = 'req-999999';
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

/** Asks again and again about a job that nobody submitted. */
function queryUnknownJob(simulation: Simulation): void {
  const { checker, clock } = simulation;
  simulation.sendRequest('GET', `/submissions/${UNKNOWN_JOB}`, undefined, (status, state) => {
    checker.responseReceived(UNKNOWN_JOB, status, state, false);
    clock.after(UNKNOWN_JOB_QUERY_MS, () => queryUnknownJob(simulation));
  });
}

/** Plays jobs and faults for a time, and then until all jobs have ended; no rule may be violated. */
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
  assert.ok(checker.startedTasks > JOBS / 2, 'hardly anything ran');
}

/** Cuts the leader off from the workers, while all other controllers reach them. */
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
  it('keeps the rules and finishes all accepted jobs when there are no faults', () => {
    playToCompletion(1, noFaults, 200_000);
  });

  // Fleet day "apart": the leader lost its workers alone, kept its lease, and 600 tasks ended with theirs.
  it('fails over before a lease expires when workers reach all controllers but the leader', () => {
    for (let seed = 1; seed <= 4; seed++) playLeaderCutFromWorkers(seed);
  });

  for (let seed = 1; seed <= 10; seed++)
    it(`keeps the rules and finishes all accepted jobs under random faults, seed ${seed}`, () => {
      playToCompletion(seed, frequentFaults, 300_000);
    });
});
