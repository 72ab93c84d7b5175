import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  LONGEST_RESTART_MS,
  MixedVersionScenario,
  REPLICAS,
  type Roll,
} from './mixed-version-scenario.js';
import { olderVersions, type OlderVersion } from './simulation/production.js';
import { shrinkingLimits as deployment } from './simulation/deployments/deployment.js';
import type { Fault } from './simulation/faults/faults.js';
import { presentVersion, type ProgramVersion } from './simulation/program-version.js';

// The operators roll out a new version while an older one serves (and back, where it fails), so both
// read each other's records and take over from each other. Rules are checked after every step.

const FIRST = Number(process.env['MIXED_FIRST'] ?? 1);

/** How many seeds of a day are played. */
interface Seeds {
  /** Of the days that meet the faults seen most. */
  usual: number;
  /** Of the days of rarer faults. */
  rare: number;
}

/** The version in production is played more often than others. */
function seedsOf(name: string): Seeds {
  const given = process.env['MIXED_SEEDS'];
  if (given !== undefined) return { usual: Number(given), rare: Number(given) };
  return name === 'production' ? { usual: 3, rare: 2 } : { usual: 1, rare: 1 };
}

function seeds(count: number, play: (seed: number) => void): void {
  for (let seed = FIRST; seed < FIRST + count; seed++)
    try {
      play(seed);
    } catch (err) {
      throw new Error(`seed ${seed}: ${(err as Error).message}`, { cause: err });
    }
}

/** Least time between a process's return in a roll and the next turn, where a day needs some. */
const MIXED_WINDOW_MS = 8000;

/** What comes into a roll, and what shows that it did. */
interface Middle {
  name: string;
  /** Time that each turn of the roll waits beyond what is drawn. */
  extraMs?: number;
  rare?: boolean;
  /** Arranges it as the roll begins. */
  begin(day: MixedVersionScenario, roll: Roll): Arranged;
}

interface Arranged {
  faults: Fault[];
  happened: () => boolean;
}

/** What comes into the middle of a roll, which takes 9 to 45 s. */
const middles: Middle[] = [
  {
    name: 'a leader that dies before its turn and comes back as it was',
    begin: ({ simulation: { clock }, starts }) => ({
      faults: [
        {
          kind: 'ended',
          who: 'leader',
          restartAfter: clock.between(0.1, 2),
          at: clock.between(0.5, 2.5),
        },
      ],
      happened: () => {
        const first = starts[0]?.version;
        return starts.filter((s) => s.version === first).length > deployment.hosts.length;
      },
    }),
  },
  {
    name: 'an outage of the state service',
    begin: ({ simulation: { clock, stateStore } }) => ({
      faults: [{ kind: 'outage', at: clock.between(3, 12), for: clock.between(5, 30) }],
      happened: () => stateStore.requestsInOutage > 0,
    }),
  },
  {
    name: 'late writes',
    begin: ({ simulation: { stateStore } }) => ({
      faults: [{ kind: 'late writes', share: 0.4, at: 0, for: 60 }],
      happened: () => stateStore.lateCommits.applied + stateStore.lateCommits.refused > 0,
    }),
  },
  {
    name: 'late reports',
    begin: ({ simulation: { network } }) => ({
      faults: [{ kind: 'late reports', share: 0.4, at: 0, for: 60 }],
      happened: () => network.duplicatesDelivered > 0,
    }),
  },
  {
    name: 'all controllers that end at once',
    // Room for it between the first process's return and the second's turn.
    extraMs: MIXED_WINDOW_MS,
    rare: true,
    begin: endAll,
  },
];

/** All controllers end at once while one of them runs the other version, and come back as they were. */
function endAll(day: MixedVersionScenario, roll: Roll): Arranged {
  const { simulation, starts } = day;
  let versionsThen = 0;
  let leaderless = false;
  let startsBefore = 0;
  const atMs = roll.firstTurnMs + LONGEST_RESTART_MS + simulation.clock.between(500, 4500);
  simulation.clock.after(atMs, () => {
    versionsThen = new Set(day.running).size;
    startsBefore = starts.length;
    const backMs = simulation.clock.between(200, 8000);
    for (const host of simulation.hosts) simulation.kill(host, backMs);
    leaderless = simulation.leader === null;
    simulation.clock.after(backMs + 1, () => {
      assert.equal(starts.length - startsBefore, simulation.hosts.length, 'not all ended at once');
    });
  });
  return { faults: [], happened: () => versionsThen === 2 && leaderless };
}

/** When the limits of the state service fall, from the time given on, and what shows it. */
interface Fall {
  name: string;
  begin(day: MixedVersionScenario, fromMs: number): Arranged;
}

const falls: Fall[] = [
  {
    name: 'amid a commit',
    begin: (day, fromMs) => {
      day.lowerLimitsAmidCommit(fromMs);
      return { faults: [], happened: () => day.limitsFall?.transaction != null };
    },
  },
  {
    name: 'amid a takeover',
    begin: (day, fromMs) => {
      const { simulation } = day;
      day.once(
        fromMs,
        () => simulation.leader !== null,
        () => {
          if (simulation.leader !== null)
            simulation.kill(simulation.leader, simulation.clock.between(2000, 6000));
          simulation.clock.after(simulation.clock.between(50, 1500), () => day.lowerLimits());
        },
      );
      return { faults: [], happened: () => day.limitsFall?.leader === null };
    },
  },
  {
    name: 'amid an outage',
    begin: (day, fromMs) => {
      const { clock } = day.simulation;
      const atS = fromMs / 1000;
      clock.after(fromMs + clock.between(1000, 4000), () => day.lowerLimits());
      return {
        faults: [{ kind: 'outage', at: atS, for: clock.between(5, 20) }],
        happened: () => day.limitsFall?.outage === true,
      };
    },
  },
];

/** The limits fall once the roll is over: a version that doesn't know of them can't write under them. */
function fallAfterRoll(fall: Fall): Middle {
  return fallFrom(fall, 1, (roll) => roll.overMs);
}

/** The limits fall while both versions serve. */
function fallAmidRoll(fall: Fall): Middle {
  const middle = fallFrom(fall, 2, (roll) => roll.firstTurnMs + LONGEST_RESTART_MS);
  return { ...middle, extraMs: MIXED_WINDOW_MS };
}

/** `versions`: how many serve as the limits fall. */
function fallFrom(fall: Fall, versions: number, fromMs: (roll: Roll) => number): Middle {
  return {
    name: `limits of the state service that fall ${fall.name}`,
    begin: (day, roll) => {
      const { faults, happened } = fall.begin(day, fromMs(roll));
      const work: Fault = { kind: 'jobs', count: 10, at: roll.overMs / 1000 + 5 };
      const { stateStore } = day.simulation;
      const asPlanned = (): boolean => happened() && day.limitsFall?.versions === versions;
      return {
        faults: [...faults, work],
        happened: () => asPlanned() && stateStore.tooLarge === 0,
      };
    },
  };
}

/** The limits fall once the roll is over, near the end of a leader. */
const fallNearTakeover: Middle = {
  name: 'lower limits',
  begin: ({ simulation: { clock, stateStore } }) => ({
    faults: [
      { kind: 'limits fall', at: clock.between(50, 60) },
      { kind: 'ended', who: 'leader', restartAfter: 1, at: clock.between(48, 62) },
      { kind: 'jobs', count: 10, at: 62 },
    ],
    happened: () => stateStore.tooLarge === 0,
  }),
};

/** All run `from`, and a roll with fault in its middle makes all run `to`. */
function rolled(seed: number, from: ProgramVersion, to: ProgramVersion, middle: Middle): void {
  const day = new MixedVersionScenario(seed, [from, from, from]);
  const { clock, electedVersions } = day.simulation;
  const { faults, happened } = middle.begin(day, day.roll(to, middle.extraMs));
  day.finish([
    { kind: 'cancelled', count: 3, at: clock.between(1, 5), hang: clock.between(0, 10) },
    { kind: 'cancelled', count: 3, at: clock.between(10, 30), elsewhere: true },
    ...faults,
  ]);
  assert.ok(happened(), `${middle.name} did not happen`);
  for (const v of [from, to]) assert.ok(electedVersions.includes(v), `${v.name} never led`);
  day.assertAllRun(to);
}

/** Two versions take over from each other ten times. */
function alternating(seed: number, old: ProgramVersion, current: ProgramVersion): void {
  const day = new MixedVersionScenario(seed, [old, current, old]);
  const { clock, electedVersions } = day.simulation;
  day.alternate(10);
  day.finish([
    { kind: 'cancelled', count: 2, at: clock.between(2, 10) },
    { kind: 'cancelled', count: 2, at: clock.between(15, 30), elsewhere: true },
    { kind: 'cancelled', count: 2, at: clock.between(35, 50) },
    { kind: 'cancelled', count: 2, at: clock.between(55, 70), elsewhere: true },
  ]);
  assert.ok(day.failovers >= 10, `only ${day.failovers} takeovers`);
  for (const v of [old, current]) assert.ok(electedVersions.includes(v), `${v.name} never led`);
}

const SERVICES = 3;

/** Services come once all run `to`, keep running as the leader changes, and are called off. */
function servicesAfterRoll(seed: number, from: ProgramVersion, to: ProgramVersion): void {
  const day = new MixedVersionScenario(seed, [from, from, from]);
  const { simulation } = day;
  const roll = day.roll(to);
  let services: string[] = [];
  let survived = false;
  simulation.clock.after(roll.overMs, () => {
    day.assertAllRun(to);
    services = day.submitServices(SERVICES);
    day.once(
      0,
      () => simulation.leader !== null && day.complete(services),
      () => changeLeader(day, services, () => (survived = true)),
    );
  });
  day.finish([{ kind: 'cancelled', count: 3, at: simulation.clock.between(1, 5) }]);
  assert.ok(survived, 'services did not run through a change of leader');
  assertCalledOff(day, services);
}

/** The leader ends while all replicas run: without one, replicas end only by themselves. */
function changeLeader(
  day: MixedVersionScenario,
  services: readonly string[],
  survived: () => void,
): void {
  const { simulation } = day;
  const elections = simulation.electedVersions.length;
  const endedBefore = simulation.replicasEnded;
  assert.ok(simulation.leader !== null);
  simulation.kill(simulation.leader, LONGEST_RESTART_MS);
  const changed = (): boolean => simulation.electedVersions.length > elections;
  day.once(0, changed, () => {
    const on = day.replicas(services).reduce((sum, count) => sum + count, 0);
    const ended = simulation.replicasEnded - endedBefore;
    assert.ok(on + ended >= SERVICES * REPLICAS, 'replicas were lost with the leader');
    day.once(
      1000,
      () => day.complete(services),
      () => {
        survived();
        for (const id of services) simulation.cancel(id);
      },
    );
  });
}

/** Services run from before the roll until after it, with leaders of both versions, and are called off. */
function servicesDuringRoll(seed: number, from: ProgramVersion, to: ProgramVersion): void {
  const day = new MixedVersionScenario(seed, [from, from, from]);
  const { simulation } = day;
  const services = day.submitServices(SERVICES);
  const elections = simulation.electedVersions.length;
  let fewest = Infinity;
  let survived = false;
  const rollOnce = (): void => {
    assert.equal(simulation.electedVersions.at(-1), from);
    let over = false;
    simulation.clock.after(day.roll(to).overMs, () => (over = true));
    const finished = (): boolean => {
      fewest = Math.min(fewest, ...day.replicas(services));
      return over && simulation.leader !== null && day.complete(services);
    };
    day.once(0, finished, () => {
      survived = true;
      for (const id of services) simulation.cancel(id);
    });
  };
  day.once(0, () => simulation.leader !== null && day.complete(services), rollOnce);
  day.finish([{ kind: 'cancelled', count: 3, at: simulation.clock.between(1, 5) }]);
  assert.ok(survived, 'services did not run through the roll');
  assert.ok(fewest > 0, 'a service had no replica for a while');
  assert.ok(
    simulation.electedVersions.slice(elections).includes(to),
    `${to.name} never led with services`,
  );
  day.assertAllRun(to);
  assertCalledOff(day, services);
}

function assertCalledOff(day: MixedVersionScenario, services: readonly string[]): void {
  for (const id of services)
    assert.ok(day.simulation.checker.toldCancelled(id), `${id} not cancelled`);
  assert.ok(
    day.replicas(services).every((count) => count === 0),
    'replicas left',
  );
}

/** The days of one older version and the present one. */
function days(older: OlderVersion): void {
  const { version: old, knowsServicesAndLimits } = older;
  const current = presentVersion();
  const { usual, rare } = seedsOf(older.name);

  for (const middle of middles) {
    const count = middle.rare === true ? rare : usual;
    it(`rolled out, with ${middle.name}`, () => {
      seeds(count, (seed) => rolled(seed, old, current, middle));
    });
    it(`rolled back, with ${middle.name}`, () => {
      seeds(count, (seed) => rolled(seed, current, old, middle));
    });
  }

  // What the version in production has written is larger than the new limits allow to write.
  it('rolled out, and then the limits of the state service fall', () => {
    seeds(usual, (seed) => rolled(seed, old, current, fallNearTakeover));
  });
  for (const fall of falls) {
    if (!knowsServicesAndLimits) {
      it(`rolled out, and then the limits of the state service fall ${fall.name}`, () => {
        seeds(rare, (seed) => rolled(seed, old, current, fallAfterRoll(fall)));
      });
      continue;
    }
    it(`rolled out, as the limits of the state service fall ${fall.name}`, () => {
      seeds(rare, (seed) => rolled(seed, old, current, fallAmidRoll(fall)));
    });
    it(`rolled back, as the limits of the state service fall ${fall.name}`, () => {
      seeds(rare, (seed) => rolled(seed, current, old, fallAmidRoll(fall)));
    });
  }

  it('take over from each other ten times', () => {
    seeds(usual, (seed) => alternating(seed, old, current));
  });

  // Services are asked for only once all know them.
  it('rolled out, and then services run through a change of leader', () => {
    seeds(rare, (seed) => servicesAfterRoll(seed, old, current));
  });
  if (!knowsServicesAndLimits) return;
  it('rolled out, while services run', () => {
    seeds(rare, (seed) => servicesDuringRoll(seed, old, current));
  });
  it('rolled back, while services run', () => {
    seeds(rare, (seed) => servicesDuringRoll(seed, current, old));
  });
}

for (const found of await olderVersions())
  describe(`${found.name} and present controllers side by side`, () => {
    if ('older' in found) days(found.older);
    else it('keep the rules', { skip: found.reason });
  });
