import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Meeting } from './meeting.js';
import { small } from './scenario.js';
import { bring } from './troubles.js';
import { present, type Version } from './version.js';
import { World } from './world.js';

/** Work runs by then, and all troubles begin and end within this time after. */
const START_MS = 15_000;
const TROUBLES_MS = 200_000;
/** Quiet time in which the work has to be finished, and no rule may break. */
const QUIET_MS = 400_000;

/** Plays the day of a meeting in quiet surroundings; throws where a rule is broken. */
export function playMeeting(meeting: Meeting, seed: number, version: Version = present()): World {
  const scenario = meeting.scenario ?? small;
  const { startMs = START_MS, bootFails = 0, firstJob } = scenario;
  const quiet = { everyMs: Infinity, doubled: 0.01, errors: 0, bootFails };
  const world = new World(scenario, seed, quiet, undefined, () => version);
  const { sim } = world;
  if (firstJob !== undefined) world.user(world.job(firstJob), null);
  const submittedMs = startMs - START_MS;
  for (let i = 0; i < meeting.count; i++)
    sim.after(submittedMs + sim.between(0, START_MS / 2), () =>
      world.user(world.job(meeting.jobs), null),
    );
  world.play(startMs);
  bring(
    world,
    meeting.troubles((from, to) => sim.between(from, to)),
  );
  world.play(TROUBLES_MS);
  world.calmDown(0);
  world.play(QUIET_MS);
  return world;
}

const FIRST = Number(process.env['MEETING_FIRST'] ?? 1);

function playSeed(meeting: Meeting, seed: number): void {
  const world = playMeeting(meeting, seed);
  assert.deepEqual(world.rules.unfinished(), [], 'never finished');
  for (const [what, times] of Object.entries(meeting.happened(world)))
    assert.ok(times > 0, `${what} did not happen`);
}

/** Makes a test of each meeting, which plays it with several seeds. */
export function testMeetings(title: string, meetings: readonly Meeting[], usualSeeds = 3): void {
  const seeds = Number(process.env['MEETING_SEEDS'] ?? usualSeeds);
  describe(title, () => {
    for (const meeting of meetings)
      it(meeting.name, () => {
        for (let seed = FIRST; seed < FIRST + seeds; seed++)
          try {
            playSeed(meeting, seed);
          } catch (err) {
            throw new Error(`seed ${seed}: ${(err as Error).message}`, { cause: err });
          }
      });
  });
}
