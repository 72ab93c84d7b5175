/** Rollouts and rollbacks during which, or after which, the state store lowers its limits. */
import { it } from 'node:test';
import type { Fault } from '../simulation/faults/scripted/fault.js';
import { presentVersion } from '../simulation/program-version.js';
import {
  LONGEST_RESTART_MS,
  type MixedVersionScenario,
  type RollingUpdate,
} from './mixed-version-scenario.js';
import { describeOlderVersions, playSeeds, seedCountsFor } from './older-versions.js';
import { RESTART_PAUSE_MS, playRollout, type PlannedEvent, type RolloutEvent } from './rollout.js';

/** A kind of moment at which the limits of the state store are lowered, such as during an outage. */
interface LimitsDecreaseMoment {
  name: string;
  /** Plans to lower the limits at the first moment of this kind after `fromMs`. */
  plan(scenario: MixedVersionScenario, fromMs: number): PlannedEvent;
}

const decreaseMoments: LimitsDecreaseMoment[] = [
  {
    name: 'during a commit',
    plan: (scenario, fromMs) => {
      scenario.lowerLimitsDuringCommit(fromMs);
      return { faults: [], occurred: () => scenario.limitsDecrease?.transaction != null };
    },
  },
  { name: 'during a failover', plan: planDuringFailover },
  {
    name: 'during an outage',
    plan: (scenario, fromMs) => {
      const { clock, random } = scenario.simulation;
      clock.after(fromMs + random.between(1000, 4000), () => scenario.lowerLimits());
      return {
        faults: [{ kind: 'stateStoreOutage', at: fromMs / 1000, for: random.between(5, 20) }],
        occurred: () => scenario.limitsDecrease?.inOutage === true,
      };
    },
  },
];

/** Kills the leader and lowers the limits before another leader is elected. */
function planDuringFailover(scenario: MixedVersionScenario, fromMs: number): PlannedEvent {
  const { simulation } = scenario;
  const { clock, random } = simulation;
  const killLeader = (): void => {
    if (simulation.leader !== null) simulation.kill(simulation.leader, random.between(2000, 6000));
    clock.after(random.between(50, 1500), () => scenario.lowerLimits());
  };
  scenario.runWhen(fromMs, () => simulation.leader !== null, killLeader);
  return { faults: [], occurred: () => scenario.limitsDecrease?.leader === null };
}

/** Lowers the limits after the rollout, since the older version ignores upcoming limits and would exceed them. */
function decreaseAfterRollout(moment: LimitsDecreaseMoment): RolloutEvent {
  return limitsDecreaseEvent(moment, 1, ({ completeMs }) => completeMs);
}

/** Lowers the limits while both versions run. */
function decreaseDuringRollout(moment: LimitsDecreaseMoment): RolloutEvent {
  const fromMs = ({ firstRestartMs }: RollingUpdate): number => firstRestartMs + LONGEST_RESTART_MS;
  return { ...limitsDecreaseEvent(moment, 2, fromMs), pauseMs: RESTART_PAUSE_MS };
}

/** @param versionsRunning - the expected number of different versions that run when the limits are lowered */
function limitsDecreaseEvent(
  moment: LimitsDecreaseMoment,
  versionsRunning: number,
  fromMs: (update: RollingUpdate) => number,
): RolloutEvent {
  return {
    name: `a decrease of the state store's limits ${moment.name}`,
    plan: (scenario, update) => {
      const { faults, occurred } = moment.plan(scenario, fromMs(update));
      const laterJobs: Fault = {
        kind: 'jobsSubmitted',
        count: 10,
        at: update.completeMs / 1000 + 5,
      };
      const { stateStore } = scenario.simulation;
      const loweredAsPlanned = (): boolean =>
        occurred() && scenario.limitsDecrease?.versionsRunning === versionsRunning;
      return {
        faults: [...faults, laterJobs],
        occurred: () => loweredAsPlanned() && stateStore.tooLarge === 0,
      };
    },
  };
}

/** Lowers the limits after the rollout, shortly before or after the leader is killed. */
const decreaseNearFailover: RolloutEvent = {
  name: "a decrease of the state store's limits close to a failover",
  plan: ({ simulation: { random, stateStore } }) => ({
    faults: [
      { kind: 'stateStoreLimitsLowered', at: random.between(50, 60) },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 1, at: random.between(48, 62) },
      { kind: 'jobsSubmitted', count: 10, at: 62 },
    ],
    occurred: () => stateStore.tooLarge === 0,
  }),
};

await describeOlderVersions('lower limits of the state store', (olderVersion) => {
  const { name, version: older, supportsServicesAndLimits } = olderVersion;
  const present = presentVersion();
  const { frequent, rare } = seedCountsFor(name);

  // The version in production may have written values that are larger than the lowered limits allow.
  it('exceed no size limit when the limits are lowered after a rollout', () => {
    playSeeds(frequent, (seed) => playRollout(seed, older, present, decreaseNearFailover));
  });
  for (const moment of decreaseMoments) {
    if (!supportsServicesAndLimits) {
      it(`exceed no size limit when the limits are lowered after a rollout, ${moment.name}`, () => {
        const event = decreaseAfterRollout(moment);
        playSeeds(rare, (seed) => playRollout(seed, older, present, event));
      });
      continue;
    }
    const event = decreaseDuringRollout(moment);
    it(`exceed no size limit when the limits are lowered during a rollout, ${moment.name}`, () => {
      playSeeds(rare, (seed) => playRollout(seed, older, present, event));
    });
    it(`exceed no size limit when the limits are lowered during a rollback, ${moment.name}`, () => {
      playSeeds(rare, (seed) => playRollout(seed, present, older, event));
    });
  }
});
