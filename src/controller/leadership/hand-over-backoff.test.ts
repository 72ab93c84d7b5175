import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { HandOverBackoff } from './hand-over-backoff.js';

describe('HandOverBackoff', () => {
  let backoff = new HandOverBackoff();
  beforeEach(() => {
    backoff = new HandOverBackoff();
  });

  it('does not wait if this node has not handed over', () => {
    assert.equal(backoff.shouldWait(0), false);
  });

  it('waits once after a handover, but not a second time if the key is still free', () => {
    backoff.begin(100);
    assert.equal(backoff.shouldWait(10), true);
    assert.equal(backoff.shouldWait(60), false);
  });

  it('waits again once another node has taken the key', () => {
    backoff.begin(100);
    backoff.shouldWait(10);
    backoff.keyTaken();
    assert.equal(backoff.shouldWait(60), true);
  });

  it('does not wait after the end of the back-off', () => {
    backoff.begin(100);
    assert.equal(backoff.shouldWait(100), false);
  });
});
