import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { StateStoreLimits } from './limits.js';

const stateLimits = { rps: 80, writeRps: 30, valueKb: 16, txnOps: 24 };
const upcomingStateLimits = { rps: 80, writeRps: 21, valueKb: 2, txnOps: 8 };
const RETRY_MS = 40_000;

describe('limits of the state service', () => {
  it('keep sizes within the smaller of both from the start, and rates until refused', () => {
    const l = new StateStoreLimits({ stateLimits, upcomingStateLimits }, () => 0, RETRY_MS);
    assert.deepEqual(l.current, { rps: 80, writeRps: 30, valueKb: 2, txnOps: 8 });
    assert.deepEqual(
      [l.recordRateRefusal(), l.recordRateRefusal(), l.recordRateRefusal()],
      [false, false, true],
    );
    assert.equal(l.current.writeRps, 21);
    assert.equal(l.recordRateRefusal(), false, 'there is nothing lower to go to');
  });

  it('take refusals far apart for bursts, and those without lower limits to come too', () => {
    let now = 0;
    const l = new StateStoreLimits({ stateLimits, upcomingStateLimits }, () => now, RETRY_MS);
    for (; now < 100_000; now += 3000) assert.equal(l.recordRateRefusal(), false);
    const same = new StateStoreLimits(
      { stateLimits, upcomingStateLimits: stateLimits },
      () => now,
      RETRY_MS,
    );
    for (let i = 0; i < 10; i++) assert.equal(same.recordRateRefusal(), false);
  });

  it('halve sizes when refused for them, and try more after a while', () => {
    let now = 0;
    const l = new StateStoreLimits(
      { stateLimits, upcomingStateLimits: stateLimits },
      () => now,
      RETRY_MS,
    );
    l.recordSizeRefusal();
    l.recordSizeRefusal();
    assert.equal(l.current.valueKb, 4);
    assert.equal(l.current.txnOps, 6);
    now += RETRY_MS;
    assert.equal(l.current.valueKb, 8);
    for (let i = 0; i < 50; i++) l.recordSizeRefusal();
    const least = l.current;
    assert.ok(least.valueKb >= 1);
    assert.ok(least.txnOps >= 2);
    now += 10 * RETRY_MS;
    assert.deepEqual(l.current, stateLimits);
  });
});
