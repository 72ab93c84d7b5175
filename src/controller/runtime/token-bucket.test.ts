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

  it('allows a burst, and then calls at its rate', () => {
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

  it('lets later callers pay for tokens that were taken by force', () => {
    bucket.forceTake(25);
    assert.equal(bucket.waitMs(), 600);
    now += 600;
    assert.ok(bucket.tryTake());
  });

  it('gives no token during a pause, and starts empty after it', () => {
    bucket.pauseFor(50);
    assert.equal(bucket.waitMs(), 100);
    now += 49;
    assert.ok(!bucket.tryTake(0));
    now += 51;
    assert.ok(bucket.tryTake());
    assert.ok(!bucket.tryTake());
  });

  it('keeps what it holds, up to the new burst, when the rate changes', () => {
    bucket.setRate(100, 5);
    assert.equal(bucket.perSecond, 100);
    assert.ok(bucket.tryTake(5));
    assert.equal(bucket.waitMs(), 10);
  });
});
