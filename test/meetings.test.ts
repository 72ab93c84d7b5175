import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { meetings } from './world/meetings.js';
import { playMeeting } from './world/play-meeting.js';
import type { World } from './world/world.js';

// Most rules that were ever broken broke when two troubles met (operators' issue "Meetings of
// troubles"). Each meeting is brought about here, with the rules checked after every step.

const SEEDS = Number(process.env['MEETING_SEEDS'] ?? 3);
const FIRST = Number(process.env['MEETING_FIRST'] ?? 1);

describe('meetings of troubles', () => {
  for (const m of meetings)
    it(m.name, () => {
      for (let seed = FIRST; seed < FIRST + SEEDS; seed++) {
        let world: World;
        try {
          world = playMeeting(m, seed);
        } catch (err) {
          throw new Error(`seed ${seed}: ${(err as Error).message}`, { cause: err });
        }
        assert.deepEqual(world.rules.unfinished(), [], `seed ${seed}: never finished`);
        for (const [what, times] of Object.entries(m.happened(world)))
          assert.ok(times > 0, `seed ${seed}: ${what} did not happen`);
      }
    });
});
