import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { plainType } from '../../../test/fleet-fixture.js';
import { ScaleOutBackoff } from './scale-out-backoff.js';

describe('ScaleOutBackoff', () => {
  const kind = { type: plainType, zone: 'a', spot: true };

  it('doubles the pause of a refused kind of machine up to eight times the first pause', () => {
    const backoff = new ScaleOutBackoff(100);
    let now = 0;
    for (const pauseMs of [100, 200, 400, 800, 800]) {
      assert.ok(backoff.allows(kind, now));
      backoff.recordShortage(kind, now, false);
      assert.ok(!backoff.allows(kind, now + pauseMs - 1));
      assert.ok(backoff.anyPaused(now + pauseMs - 1));
      now += pauseMs;
    }
    assert.ok(!backoff.anyPaused(now));
  });

  it('starts again with the shortest pause after the cloud has launched some or all machines', () => {
    const backoff = new ScaleOutBackoff(100);
    backoff.recordShortage(kind, 0, false);
    backoff.recordShortage(kind, 0, false);
    backoff.recordShortage(kind, 0, true);
    assert.ok(backoff.allows(kind, 100));
    backoff.recordShortage(kind, 0, false);
    backoff.recordSuccess(kind);
    assert.ok(backoff.allows(kind, 0));
  });
});
