import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decodeBody, encodeBody } from './cbor.js';

describe('decodeBody', () => {
  const malformed: [string, Buffer][] = [
    ['a second CBOR item', Buffer.concat([encodeBody({}), Buffer.from([0])])],
    ['an incomplete map', Buffer.from([0xa1])],
    ['NaN', Buffer.from('f97e00', 'hex')],
    ['an empty body', Buffer.alloc(0)],
  ];
  for (const [defect, bytes] of malformed)
    it(`throws for ${defect}`, () => assert.throws(() => decodeBody(bytes)));

  it('decodes integers up to 2^64 - 1 without loss', () => {
    const maxUint64 = 2n ** 64n - 1n;
    assert.deepEqual(decodeBody(encodeBody({ x: maxUint64 })), { x: maxUint64 });
  });
});
