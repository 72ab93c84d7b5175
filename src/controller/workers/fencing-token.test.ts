import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { makeFencingToken, termOfToken } from './fencing-token.js';

describe('termOfToken', () => {
  it('gives the term of a token, beyond the safe integers too', () => {
    assert.equal(termOfToken(makeFencingToken(50, 7)), 50);
    assert.equal(termOfToken(2n ** 63n), 2 ** 43);
  });
});
