/**
 * Rollouts and rollbacks between an older version and the present one, with faults during the update.
 * Operators roll out a new version while an older one runs, and roll back if the new one fails. So each version
 * has to read the other's records and be able to succeed it as leader. Rules are checked after every step.
 */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { smallWithLowerLimits as deployment } from '../simulation/deployments/small.js';
import { presentVersion } from '../simulation/program-version.js';
import {
  LONGEST_RESTART_MS,
  type MixedVersionScenario,
  type RollingUpdate,
} from './mixed-version-scenario.js';
import { describeOlderVersions, playSeeds, seedCountsFor } from './older-versions.js';
import { RESTART_PAUSE_MS, playRollout, type PlannedEvent, type RolloutEvent } from './rollout.js';

/** Events during a rolling update, which takes 9 to 45 s. */
const rolloutEvents: RolloutEvent[] = [
  {
    name: 'a leader that is killed before its update and restarts with the old version',
    plan: ({ simulation: { random }, starts }) => {
      const restartAfter = random.between(0.1, 2);
      const at = random.between(0.5, 2.5);
      return {
        faults: [{ kind: 'controllersKilled', target: 'leader', restartAfter, at }],
        occurred: () => {
          const oldVersion = starts[0]?.version;
          const oldStarts = starts.filter(({ version }) => version === oldVersion);
          return oldStarts.length > deployment.hosts.length;
        },
      };
    },
  },
  {
    name: 'an outage of the state store',
    plan: ({ simulation: { random, stateStore } }) => ({
      faults: [{ kind: 'stateStoreOutage', at: random.between(3, 12), for: random.between(5, 30) }],
      occurred: () => stateStore.requestsInOutage > 0,
    }),
  },
  {
    name: 'delayed writes',
    plan: ({ simulation: { stateStore } }) => ({
      faults: [{ kind: 'lateWrites', share: 0.4, at: 0, for: 60 }],
      occurred: () => stateStore.lateCommits.applied + stateStore.lateCommits.refused > 0,
    }),
  },
  {
    name: 'delayed duplicates of heartbeats',
    plan: ({ simulation: { network } }) => ({
      faults: [{ kind: 'duplicatedHeartbeats', share: 0.4, at: 0, for: 60 }],
      occurred: () => network.duplicatesDelivered > 0,
    }),
  },
  {
    name: 'a simultaneous kill of all controllers',
    // Leaves time for the event between the restart of the first process and the kill of the second.
    pauseMs: RESTART_PAUSE_MS,
    rare: true,
    plan: planKillOfAll,
  },
];

/** Kills all controllers at once while one runs the new version; each restarts with the version that it ran. */
function planKillOfAll(scenario: MixedVersionScenario, update: RollingUpdate): PlannedEvent {
  const { simulation, starts } = scenario;
  const { clock, random, hosts } = simulation;
  let versionsRunning = 0;
  let leaderless = false;
  clock.after(update.firstRestartMs + LONGEST_RESTART_MS + random.between(500, 4500), () => {
    versionsRunning = new Set(scenario.runningVersions).size;
    const startsBefore = starts.length;
    const restartMs = random.between(200, 8000);
    for (const host of hosts) simulation.kill(host, restartMs);
    leaderless = simulation.leader === null;
    clock.after(restartMs + 1, () => {
      assert.equal(
        starts.length - startsBefore,
        hosts.length,
        'number of processes that restarted after the kill of all controllers',
      );
    });
  });
  return { faults: [], occurred: () => versionsRunning === 2 && leaderless };
}

await describeOlderVersions('rollouts', ({ name, version: older }) => {
  const present = presentVersion();
  const { frequent, rare } = seedCountsFor(name);
  for (const event of rolloutEvents) {
    const seedCount = event.rare === true ? rare : frequent;
    it(`violate no rule and finish all jobs during a rollout with ${event.name}`, () => {
      playSeeds(seedCount, (seed) => playRollout(seed, older, present, event));
    });
    it(`violate no rule and finish all jobs during a rollback with ${event.name}`, () => {
      playSeeds(seedCount, (seed) => playRollout(seed, present, older, event));
    });
  }
});
