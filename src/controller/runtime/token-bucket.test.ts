import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { TokenBucket } from './token-bucket.js';

describe('TokenBucket', () => {
  let now = 0;
  let bucket: TokenBucket;

  beforeEach(() => {
    now = 0;
    bucket = new TokenBucket(() => now, 10, 20);
  });

  it('allows a burst, and then limits calls to the rate', () => {
    for (let i = 0; i < 20; i++) assert.ok(bucket.tryTake());
    assert.ok(!bucket.tryTake());
    assert.equal(bucket.waitMs(), 100);
    now += 100;
    assert.ok(bucket.tryTake());
    assert.ok(!bucket.tryTake());
  });

  it('leaves the reserve to calls of higher priority', () => {
    const reserve = 0.5;
    for (let i = 0; i < 10; i++) assert.ok(bucket.tryTake(1, reserve));
    assert.ok(!bucket.tryTake(1, reserve));
    assert.equal(bucket.waitMs(1, reserve), 100);
    assert.ok(bucket.tryTake());
  });

  // Guards against buckets that grant nothing: a call and its reserve exceeded the burst, so that at 1.2 calls a
  // second no machine was ever rented.
  it('grants a call of any priority from a full bucket, at any rate', () => {
    for (const ratePerS of [0.2, 1, 1.2, 1.4, 2, 200])
      for (const reserve of [0, 0.2, 0.3, 1]) {
        const full = new TokenBucket(() => now, ratePerS, Math.max(1, ratePerS));
        assert.equal(full.waitMs(1, reserve), 0);
        assert.ok(full.tryTake(1, reserve));
      }
  });

  it('makes later callers wait after forceTake has taken more tokens than there were', () => {
    bucket.forceTake(25);
    assert.equal(bucket.waitMs(), 600);
    now += 600;
    assert.ok(bucket.tryTake());
  });

  it('grants no token during a pause, which starts with an empty bucket', () => {
    bucket.pauseFor(50);
    assert.equal(bucket.waitMs(), 100);
    now += 49;
    assert.ok(!bucket.tryTake(0));
    now += 51;
    assert.ok(bucket.tryTake());
    assert.ok(!bucket.tryTake());
  });

  it('keeps its tokens, up to the new burst, when the rate changes', () => {
    bucket.setRate(100, 5);
    assert.equal(bucket.perSecond, 100);
    assert.ok(bucket.tryTake(5));
    assert.equal(bucket.waitMs(), 10);
  });
});
