import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FENCING_EPOCH_LIMIT, makeFencingToken, termOfToken } from './fencing-token.js';

describe('termOfToken', () => {
  it('returns the term of a token, also for tokens above the largest safe integer', () => {
    assert.equal(termOfToken(makeFencingToken(50, 7)), 50);
    assert.equal(termOfToken(2n ** 63n), 2 ** 43);
  });

  // Guards against rounded tokens: from term 2^33 on, a raised token was equal to the one before.
  it('raises the token with each fencing epoch and term', () => {
    for (const term of [1, 2 ** 33, 2 ** 43]) {
      assert.ok(makeFencingToken(term, 1) > makeFencingToken(term, 0));
      assert.ok(makeFencingToken(term + 1, 0) > makeFencingToken(term, FENCING_EPOCH_LIMIT));
      assert.equal(termOfToken(makeFencingToken(term, 1)), term);
    }
  });
});
