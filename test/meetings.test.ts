import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { meetings, type Meeting } from './world/meetings.js';
import { small } from './world/scenario.js';
import { bring } from './world/troubles.js';
import { present, type Version } from './world/version.js';
import { World } from './world/world.js';

// Most rules that were ever broken broke when two troubles met (operators' issue "Meetings of
// troubles"). Each meeting is brought about here, with the rules checked after every step.

const SEEDS = Number(process.env['MEETING_SEEDS'] ?? 3);
const FIRST = Number(process.env['MEETING_FIRST'] ?? 1);
/** Work runs by then, and all troubles begin and end within this time after. */
const START_MS = 15_000;
const TROUBLES_MS = 200_000;

function play(m: Meeting, seed: number, version: Version = present()): World {
  const quiet = { everyMs: Infinity, doubled: 0.01, errors: 0, bootFails: 0 };
  const world = new World(m.scenario ?? small, seed, quiet, undefined, () => version);
  for (let i = 0; i < m.count; i++)
    world.sim.after(world.sim.between(0, START_MS / 2), () => world.user(world.job(m.jobs), null));
  world.play(START_MS);
  bring(
    world,
    m.troubles((from, to) => world.sim.between(from, to)),
  );
  world.play(TROUBLES_MS);
  world.calmDown(0);
  world.play(400_000);
  return world;
}

function named(part: string): Meeting {
  const m = meetings.find((x) => x.name.includes(part));
  assert.ok(m, part);
  return m;
}

describe('meetings of troubles', () => {
  // Without its bound a leader renews workers for as long as its lease is renewed.
  it('breaks a rule where a leader answers on a view of any age', () => {
    const version = present({ ...defaultProperties(), 'workers.view.ratio': 1000 });
    assert.throws(() => play(named('whose watches do not'), 1, version), /ran_cancelled/);
  });

  for (const m of meetings)
    it(m.name, () => {
      for (let seed = FIRST; seed < FIRST + SEEDS; seed++) {
        let world: World;
        try {
          world = play(m, seed);
        } catch (err) {
          throw new Error(`seed ${seed}: ${(err as Error).message}`, { cause: err });
        }
        assert.deepEqual(world.rules.unfinished(), [], `seed ${seed}: never finished`);
        for (const [what, times] of Object.entries(m.happened(world)))
          assert.ok(times > 0, `seed ${seed}: ${what} did not happen`);
      }
    });
});
