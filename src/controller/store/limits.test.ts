import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { StateStoreLimits } from './limits.js';

const stateLimits = { rps: 80, writeRps: 30, valueKb: 16, txnOps: 24 };
const upcomingStateLimits = { rps: 80, writeRps: 21, valueKb: 2, txnOps: 8 };
const RETRY_MS = 40_000;

describe('StateStoreLimits', () => {
  let now = 0;

  beforeEach(() => {
    now = 0;
  });

  function limitsWith(upcoming: typeof stateLimits): StateStoreLimits {
    const platform = { stateLimits, upcomingStateLimits: upcoming };
    return new StateStoreLimits(platform, () => now, RETRY_MS);
  }

  it('applies the smaller size limits from the start, and the lower rates from the third refusal', () => {
    const limits = limitsWith(upcomingStateLimits);
    assert.deepEqual(limits.current, { rps: 80, writeRps: 30, valueKb: 2, txnOps: 8 });
    const inForce = [1, 2, 3].map(() => limits.recordRateRefusal());
    assert.deepEqual(inForce, [false, false, true]);
    assert.equal(limits.current.writeRps, 21);
    assert.equal(limits.recordRateRefusal(), false, 'the lower rates apply already');
  });

  it('keeps the rates when refusals are far apart', () => {
    const limits = limitsWith(upcomingStateLimits);
    for (; now < 100_000; now += 3000) assert.equal(limits.recordRateRefusal(), false);
  });

  it('keeps the rates when none of the upcoming ones is lower', () => {
    const limits = limitsWith(stateLimits);
    for (let i = 0; i < 10; i++) assert.equal(limits.recordRateRefusal(), false);
  });

  it('halves sizes after a size refusal, and doubles them again after the retry time', () => {
    const limits = limitsWith(stateLimits);
    limits.recordSizeRefusal();
    limits.recordSizeRefusal();
    assert.equal(limits.current.valueKb, 4);
    assert.equal(limits.current.txnOps, 6);
    now += RETRY_MS;
    assert.equal(limits.current.valueKb, 8);
    for (let i = 0; i < 50; i++) limits.recordSizeRefusal();
    const smallest = limits.current;
    assert.ok(smallest.valueKb >= 1);
    assert.ok(smallest.txnOps >= 2);
    now += 10 * RETRY_MS;
    assert.deepEqual(limits.current, stateLimits);
  });
});
