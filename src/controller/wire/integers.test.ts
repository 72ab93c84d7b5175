import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { decodeBody, encodeBody } from './cbor.js';
import { combineInts, highPart, isInt, toInt } from './integers.js';

const LOW_RANGE = 2 ** 22;
const MAX_HIGH = 2 ** 42 - 1;

const high = fc.oneof(
  fc.constantFrom(0, 1, 2 ** 31 - 1, 2 ** 31, 2 ** 33, MAX_HIGH),
  fc.integer({ min: 0, max: MAX_HIGH }),
);
const low = fc.oneof(
  fc.constantFrom(0, 1, LOW_RANGE - 1),
  fc.integer({ min: 0, max: LOW_RANGE - 1 }),
);

describe('integers of the protocols', () => {
  it('are combined exactly, in the order of their parts, and equal after encoding', () => {
    fc.assert(
      fc.property(high, low, high, low, (high1, low1, high2, low2) => {
        const first = combineInts(high1, LOW_RANGE, low1);
        const second = combineInts(high2, LOW_RANGE, low2);
        assert.equal(BigInt(first), BigInt(high1) * BigInt(LOW_RANGE) + BigInt(low1));
        assert.equal(first < second, high1 < high2 || (high1 === high2 && low1 < low2));
        assert.equal(highPart(first, LOW_RANGE), high1);
        assert.ok(isInt(first));
        assert.equal(decodeBody(encodeBody(first)), first);
      }),
      { seed: 7 },
    );
  });

  it('have one representation each, which JavaScript compares by value', () => {
    assert.equal(toInt(2n ** 53n - 1n), 2 ** 53 - 1);
    assert.equal(toInt(2n ** 53n), 2n ** 53n);
    for (const invalid of [5n, -1, 1.5, 2 ** 53, 2n ** 64n, NaN, '1', null])
      assert.ok(!isInt(invalid), String(invalid));
  });
});
