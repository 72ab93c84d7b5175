import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobSpec } from '../src/controller/wire/jobs.js';
import { long } from './world/meeting.js';
import { production } from './world/production.js';
import { shrinking as deployment } from './world/scenario.js';
import { bring, type Trouble } from './world/troubles.js';
import { present, type Version } from './world/version.js';
import { World } from './world/world.js';

// The operators roll out a new version while production serves (and back, where it fails), so both
// read each other's records and take over from each other. Rules are checked after every step.

const SEEDS = Number(process.env['MIXED_SEEDS'] ?? 3);
const FIRST = Number(process.env['MIXED_FIRST'] ?? 1);
/** Work runs by then, and the versions mix within this time after. */
const START_MS = 15_000;
const MIXED_MS = 200_000;

/** Work of the day: long, in waves that leave jobs half done for long, and in gangs. */
const work: Partial<JobSpec>[] = [
  long,
  { ...long, tasks: 20, cpus: 4, estimateS: 12 },
  { ...long, kind: 'gang', tasks: 2, gpus: 1, estimateS: 25 },
];

/** A day on which each host has its own version. */
class MixedDay {
  readonly world: World;
  readonly starts: { host: string; version: Version }[] = [];
  private readonly versions = new Map<string, Version>();

  constructor(seed: number, versions: readonly Version[]) {
    for (const [i, h] of deployment.hosts.entries()) this.versions.set(h, this.at(versions, i));
    const quiet = { everyMs: Infinity, doubled: 0.01, errors: 0, bootFails: 0 };
    this.world = new World(deployment, seed, quiet, undefined, (host) => {
      const version = this.versions.get(host);
      assert.ok(version, host);
      this.starts.push({ host, version });
      return version;
    });
    this.submit(14, START_MS / 2);
    this.world.play(START_MS);
  }

  private at(versions: readonly Version[], i: number): Version {
    const version = versions[i];
    assert.ok(version, `no version for host ${i}`);
    return version;
  }

  private submit(count: number, overMs: number): void {
    const { world } = this;
    for (let i = 0; i < count; i++)
      world.sim.after(world.sim.between(0, overMs), () =>
        world.user(world.job(work[i % work.length] ?? long), null),
      );
  }

  /** The hosts' processes end one by one and come back as `to`, the leader's as the last. */
  roll(to: Version): void {
    const { sim, hosts, leader } = this.world;
    const others = hosts.filter((h) => h !== leader);
    let at = 0;
    for (const host of leader === null ? others : [...others, leader]) {
      at += sim.between(3000, 15_000);
      sim.after(at, () => {
        this.versions.set(host, to);
        this.world.kill(host, sim.between(500, 6000));
      });
    }
  }

  /** How often a leader of one version has followed one of the other. */
  get takeovers(): number {
    const { elected } = this.world;
    return elected.filter((v, i) => i > 0 && v !== elected[i - 1]).length;
  }

  /** The leader ends again and again, until the versions have taken over from each other so often. */
  alternate(times: number): void {
    const { world } = this;
    const again = (): void => {
      if (this.takeovers >= times) return;
      if (world.leader !== null) world.kill(world.leader, world.sim.between(100, 6000));
      world.sim.after(world.sim.between(2000, 8000), again);
    };
    again();
  }

  /** New work comes and the troubles run their course; then all is quiet until the work is done. */
  finish(troubles: Trouble[]): void {
    const { world } = this;
    this.submit(8, MIXED_MS / 4);
    bring(world, troubles);
    world.play(MIXED_MS);
    world.calmDown(0);
    const until = world.sim.now + 400_000;
    do world.play(60_000);
    while (world.sim.now < until && world.rules.unfinished().length > 0);
    assert.deepEqual(world.rules.unfinished(), [], 'never finished');
    assert.ok(world.rules.cancelledRunning.length > 0, 'nothing that ran was cancelled');
  }
}

function seeds(play: (seed: number) => void): void {
  for (let seed = FIRST; seed < FIRST + SEEDS; seed++)
    try {
      play(seed);
    } catch (err) {
      throw new Error(`seed ${seed}: ${(err as Error).message}`, { cause: err });
    }
}

type Between = (from: number, to: number) => number;

interface Middle {
  name: string;
  troubles(between: Between): Trouble[];
  happened(day: MixedDay): boolean;
}

/** What comes into the middle of a roll, which takes 9 to 45 s, and what shows that it did. */
const middles: Middle[] = [
  {
    name: 'a leader that dies before its turn and comes back as it was',
    troubles: (between) => [
      { kind: 'ended', who: 'leader', back: between(0.1, 2), at: between(0.5, 2.5) },
    ],
    happened: ({ starts }) => {
      const first = starts[0]?.version;
      return starts.filter((s) => s.version === first).length > deployment.hosts.length;
    },
  },
  {
    name: 'an outage of the state service',
    troubles: (between) => [{ kind: 'outage', at: between(3, 12), for: between(5, 30) }],
    happened: ({ world }) => world.state.missed > 0,
  },
  {
    name: 'late writes',
    troubles: () => [{ kind: 'late writes', share: 0.4, at: 0, for: 60 }],
    happened: ({ world }) => world.state.late.applied + world.state.late.refused > 0,
  },
  {
    name: 'late reports',
    troubles: () => [{ kind: 'late reports', share: 0.4, at: 0, for: 60 }],
    happened: ({ world }) => world.net.copies > 0,
  },
];

/** All run `from`, and a roll with trouble in its middle makes all run `to`. */
function rolled(seed: number, from: Version, to: Version, middle: Middle): void {
  const day = new MixedDay(seed, [from, from, from]);
  const { sim, elected } = day.world;
  day.roll(to);
  day.finish([
    { kind: 'cancelled', count: 3, at: sim.between(1, 5), hang: sim.between(0, 10) },
    { kind: 'cancelled', count: 3, at: sim.between(10, 30), elsewhere: true },
    ...middle.troubles((a, b) => sim.between(a, b)),
  ]);
  assert.ok(middle.happened(day), `${middle.name} did not happen`);
  for (const v of [from, to]) assert.ok(elected.includes(v), `${v.name} never led`);
  for (const host of deployment.hosts)
    assert.equal(day.starts.findLast((s) => s.host === host)?.version, to, `${host} is not rolled`);
}

const found = await production();

describe('old and new controllers side by side', () => {
  if (found.version === null) {
    it('keep the rules', { skip: found.reason });
    return;
  }
  const old = found.version;
  const current = present();

  for (const middle of middles) {
    it(`rolled out, with ${middle.name}`, () => {
      seeds((seed) => rolled(seed, old, current, middle));
    });
    it(`rolled back, with ${middle.name}`, () => {
      seeds((seed) => rolled(seed, current, old, middle));
    });
  }

  // What production has written is larger than the new limits allow to write.
  it('rolled out, and then the limits of the state service fall', () => {
    const middle: Middle = {
      name: 'lower limits',
      troubles: (between) => [
        { kind: 'limits fall', at: between(50, 60) },
        { kind: 'ended', who: 'leader', back: 1, at: between(48, 62) },
        { kind: 'jobs', count: 10, at: 62 },
      ],
      happened: ({ world }) => world.state.tooLarge === 0,
    };
    seeds((seed) => rolled(seed, old, current, middle));
  });

  it('take over from each other ten times', () => {
    seeds((seed) => {
      const day = new MixedDay(seed, [old, current, old]);
      const { sim, elected } = day.world;
      day.alternate(10);
      day.finish([
        { kind: 'cancelled', count: 2, at: sim.between(2, 10) },
        { kind: 'cancelled', count: 2, at: sim.between(15, 30), elsewhere: true },
        { kind: 'cancelled', count: 2, at: sim.between(35, 50) },
        { kind: 'cancelled', count: 2, at: sim.between(55, 70), elsewhere: true },
      ]);
      assert.ok(day.takeovers >= 10, `only ${day.takeovers} takeovers`);
      for (const v of [old, current]) assert.ok(elected.includes(v), `${v.name} never led`);
    });
  });
});
