import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DecayingRate } from './decaying-rate.js';

const TIME_CONSTANT_MS = 3000;

describe('DecayingRate', () => {
  it('converges to the rate of evenly spaced events', () => {
    let now = 0;
    const rate = new DecayingRate(() => now, TIME_CONSTANT_MS);
    for (; now < 30_000; now += 100) rate.count(2);
    assert.ok(Math.abs(rate.perSecond - 20) < 1, `${rate.perSecond}`);
  });

  it('falls by a factor of e in each time constant without events', () => {
    let now = 0;
    const rate = new DecayingRate(() => now, TIME_CONSTANT_MS);
    rate.count(30);
    assert.equal(rate.perSecond, 10);
    now = TIME_CONSTANT_MS;
    assert.ok(Math.abs(rate.perSecond - 10 / Math.E) < 1e-9);
  });
});
