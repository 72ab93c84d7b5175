import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { standalonePlatform } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { PassScheduler } from './pass-scheduler.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const intervalMs = settings.heartbeatIntervalMs * settings.get('placement.interval.ratio');

/** Creates a scheduler of passes that take `sliceCount` slices of `sliceMs` each. */
function setUp(sliceCount: number, sliceMs: number) {
  const runtime = new ManualRuntime();
  const passes = { begun: 0, finished: [] as number[] };
  let slicesLeft = 0;
  const placement = {
    get passInProgress(): boolean {
      return slicesLeft > 0;
    },
    begin: () => {
      passes.begun++;
      slicesLeft = sliceCount;
    },
    advance: () => {
      runtime.advance(sliceMs);
      return --slicesLeft === 0;
    },
  };
  const eventLoop = new EventLoop(runtime, silentLogger);
  const scheduler = new PassScheduler(eventLoop, settings, placement, (durationMs) =>
    passes.finished.push(durationMs),
  );
  return { runtime, passes, scheduler };
}

describe('PassScheduler', () => {
  it('runs one slice in each step and reports the total duration of the slices', () => {
    const { passes, scheduler } = setUp(3, 10);
    scheduler.step();
    scheduler.step();
    assert.deepEqual(passes.finished, []);
    scheduler.step();
    assert.deepEqual(passes, { begun: 1, finished: [30] });
  });

  it('starts no second pass until one is requested', () => {
    const { runtime, passes, scheduler } = setUp(1, 1);
    scheduler.step();
    runtime.advance(intervalMs * 10);
    scheduler.step();
    assert.equal(passes.begun, 1);
    scheduler.request();
    scheduler.step();
    assert.equal(passes.begun, 2);
  });

  it('waits after a pass for three times its duration if that exceeds the interval between passes', () => {
    const durationMs = intervalMs;
    const { runtime, passes, scheduler } = setUp(1, durationMs);
    scheduler.step();
    scheduler.request();
    runtime.advance(durationMs * 3 - 1);
    scheduler.step();
    assert.equal(passes.begun, 1);
    runtime.advance(1);
    scheduler.step();
    assert.equal(passes.begun, 2);
  });
});
