import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { makeFencingToken, termOfToken } from './fencing-token.js';

describe('termOfToken', () => {
  it('returns the term of a token, also for tokens above the largest safe integer', () => {
    assert.equal(termOfToken(makeFencingToken(50, 7)), 50);
    assert.equal(termOfToken(2n ** 63n), 2 ** 43);
  });
});
