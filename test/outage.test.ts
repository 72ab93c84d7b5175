/** An outage of the state service that is longer than the workers' leases. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { longJobs } from './simulation/scenarios/fault-scenario.js';
import { shortLeases } from './simulation/deployments/short-leases.js';
import { Simulation } from './simulation/simulation.js';

const quiet = { meanIntervalMs: Infinity, duplicated: 0, taskFailures: 0, bootFailures: 0 };
/** Leases are 10 s there, and the leader's 1.3 s. */
const OUTAGE_MS = 20_000;
const FIRST_WORK_MS = 65_000;
const LOOK_EVERY_MS = 5;

/** Two controllers that answer workers at one time would break the fence between leaders. */
function watchWhoAnswers(simulation: Simulation): void {
  const { clock, processes } = simulation;
  const look = (): void => {
    const hosts = processes.answeringWorkers();
    assert.ok(hosts.length <= 1, hosts.join(' and '));
    if (!simulation.faultsStopped) clock.after(LOOK_EVERY_MS, look);
  };
  look();
}

describe('an outage of the state service longer than the leases of workers', () => {
  function playOutage(seed: number, during: (simulation: Simulation) => void): Simulation {
    const simulation = new Simulation(shortLeases, seed, quiet);
    const job = { ...longJobs, spot: true, zone: null, cpus: 1, memoryGb: 1 };
    for (let i = 0; i < 8; i++) simulation.submit(simulation.jobWith(job), null);
    simulation.play(FIRST_WORK_MS);
    simulation.stateStore.outage(OUTAGE_MS);
    watchWhoAnswers(simulation);
    during(simulation);
    simulation.play(OUTAGE_MS + 5000);
    return simulation;
  }

  // Recorded days of the third deployment lost all running tasks in each outage of 20 s: the leader
  // stopped answering with the end of its own lease.
  for (const seed of [1, 2, 3])
    it(`costs no worker its lease while all controllers are there, seed ${seed}`, () => {
      const simulation = playOutage(seed, () => undefined);
      assert.ok(simulation.checker.startedTasks > 0);
      assert.equal(simulation.logCounts.get('lease renewed after a gap'), 1);
      assert.equal(simulation.expiredLeases, 0);
    });

  it('costs leases where a controller is away, for it has promised nothing', () => {
    const simulation = playOutage(1, (playing) => {
      const follower = shortLeases.hosts.find((host) => host !== playing.leader) ?? '';
      playing.kill(follower, OUTAGE_MS);
    });
    assert.ok(simulation.expiredLeases > 0);
  });

  for (const seed of [1, 2, 3, 4])
    it(`keeps the rules when controllers end and come back in it, seed ${seed}`, () => {
      const simulation = playOutage(seed, (playing) => {
        const { clock, random, processes } = playing;
        for (let i = 0; i < 12; i++)
          clock.after(random.between(0, OUTAGE_MS + 3000), () => {
            const host = random.pick(shortLeases.hosts);
            if (random.next() < 0.5) playing.kill(host, random.between(50, 400));
            else processes.freeze(host, random.between(100, 4000));
          });
      });
      simulation.stopFaults(10_000);
      simulation.play(400_000);
      assert.deepEqual(simulation.checker.unfinishedJobs(), []);
    });
});
