/** Watches when the state store retains few changes, so that all of them are too old now and then. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { smallDeployment } from './simulation/deployments/small.js';
import { noFaults } from './simulation/faults/fault-rates.js';
import { longJobs } from './simulation/scenarios/fault-scenario.js';
import { Simulation } from './simulation/simulation.js';

const RETAINED_CHANGES = 20;
const SUBMIT_INTERVAL_MS = 500;
const RESTART_AT_MS = 60_000;
const RESTART_MS = 500;
/** By the users' limit, a job about which no question is answered for 75 s counts as forgotten. */
const FORGOTTEN_MS = 75_000;
const POLL_INTERVAL_MS = 2500;
const POLL_TIMEOUT_MS = 2000;
const OUTAGE_MS = 30_000;

/** Answers of one controller to polls about a job. */
interface PollCounts {
  sent: number;
  answered: number;
}

/** Plays a steady load of jobs on a state store that retains few changes. */
function playSteadyLoad(): Simulation {
  const deployment = { ...smallDeployment, retainedChanges: RETAINED_CHANGES };
  const simulation = new Simulation(deployment, 1, noFaults);
  const job = { ...longJobs, estimatedRunS: 2, tasks: 1 };
  const endMs = RESTART_AT_MS + FORGOTTEN_MS + OUTAGE_MS;
  for (let at = 0; at < endMs; at += SUBMIT_INTERVAL_MS)
    simulation.clock.after(at, () => simulation.submit(simulation.jobWith(job), null));
  simulation.play(RESTART_AT_MS);
  return simulation;
}

/** Polls the first job at one controller until the end of the time after which it would be forgotten. */
function pollAt(simulation: Simulation, host: string): PollCounts {
  const counts = { sent: 0, answered: 0 };
  const [id = ''] = simulation.checker.jobs.accepted();
  for (let at = POLL_INTERVAL_MS; at < FORGOTTEN_MS - POLL_TIMEOUT_MS; at += POLL_INTERVAL_MS)
    simulation.clock.after(at, () => {
      counts.sent++;
      const call = {
        method: 'GET',
        path: `/submissions/${id}`,
        timeoutMs: POLL_TIMEOUT_MS,
      } as const;
      simulation.network.call(
        'poller',
        { to: simulation.apiOf(host), ...call },
        () => true,
        ({ status }) => {
          if (status === 200) counts.answered++;
        },
      );
    });
  simulation.play(FORGOTTEN_MS);
  return counts;
}

function followerOf({ leader, hosts }: Simulation): string {
  const follower = hosts.find((host) => host !== leader);
  assert.ok(leader !== null && follower !== undefined);
  return follower;
}

// Guards against a watch that is repeated from a revision that the state store does not retain: each time it got 410,
// eleven times a second, which used up the node's requests, and no question of its users was answered.
describe('while the state store retains few changes', () => {
  it('a follower that restarts answers its users, and its watch starts from what it read', () => {
    const simulation = playSteadyLoad();
    const follower = followerOf(simulation);
    const outdatedBefore = simulation.stateStore.outdatedWatches;
    simulation.kill(follower, RESTART_MS);
    simulation.play(RESTART_MS);
    const polls = pollAt(simulation, follower);
    assert.equal(polls.answered, polls.sent);
    const outdated = simulation.stateStore.outdatedWatches - outdatedBefore;
    assert.ok(outdated > 0, 'no watch was too old');
    assert.ok(outdated <= 2, `${outdated} watches were too old`);
  });

  it('followers answer their users after an outage of the state store', () => {
    const simulation = playSteadyLoad();
    simulation.stateStore.outage(OUTAGE_MS);
    simulation.play(OUTAGE_MS);
    const outdatedBefore = simulation.stateStore.outdatedWatches;
    const polls = pollAt(simulation, followerOf(simulation));
    assert.equal(polls.answered, polls.sent);
    const outdated = simulation.stateStore.outdatedWatches - outdatedBefore;
    assert.ok(outdated <= 2 * simulation.hosts.length, `${outdated} watches were too old`);
  });
});
