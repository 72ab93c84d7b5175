import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { adjustCount } from './keyed-counts.js';

describe('adjustCount', () => {
  it('removes a key whose count falls to zero', () => {
    const counts = new Map<string, number>();
    assert.equal(adjustCount(counts, 'a', 2), 2);
    assert.equal(adjustCount(counts, 'a', -1), 1);
    assert.equal(adjustCount(counts, 'a', -1), 0);
    assert.equal(counts.size, 0);
  });
});
