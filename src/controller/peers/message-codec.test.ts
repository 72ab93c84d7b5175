import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { exampleMessage, exampleStatus } from '../../../test/peer-message.js';
import { AvroEncodingError } from './avro-validation.js';
import {
  decodePeerMessage,
  encodePeerMessage,
  UnreadablePeerMessageError,
} from './message-codec.js';
import { EMPTY_MESSAGE } from './message.js';

/** Whether the error reports an unreadable message and its cause is an Avro encoding error. */
function isCausedByEncoding(err: unknown): boolean {
  return err instanceof UnreadablePeerMessageError && err.cause instanceof AvroEncodingError;
}

describe('encodePeerMessage', () => {
  // Controllers that run an older version have to read these bytes, and messages carry no version number.
  it('returns the same bytes as version 6cbc17f', () => {
    const message = { ...exampleMessage, reply: { id: 3, status: 200, body: Buffer.from('y') } };
    const expectedHex = [
      '020c6b696c6e2d3102780000000000002940000e000000000000f83f000000000000e03f',
      '020a7265712d310000020a7265712d3300',
      '020a7265712d32020204020a6572726f7202000000',
      '020c6b696c6e2d3106',
      '06474554242f7375626d697373696f6e732f7265712d310278',
      '020690030279',
    ].join('');
    assert.equal(encodePeerMessage(message).toString('hex'), expectedHex);
    assert.equal(
      JSON.stringify(decodePeerMessage(Buffer.from(expectedHex, 'hex'))),
      JSON.stringify(message),
    );
  });

  it('encodes any decoded message to the bytes from which it was decoded', () => {
    const text = fc.string({ unit: 'binary', maxLength: 20 });
    const int = fc.integer({ min: -(2 ** 31), max: 2 ** 31 - 1 });
    const long = fc.maxSafeInteger();
    const body = fc.uint8Array({ maxLength: 20 }).map((bytes) => Buffer.from(bytes));
    const progress = fc.record({
      ...{ id: text, state: fc.constantFrom('queued', 'running', 'done', 'cancelled') },
      ...{ done: int, running: int, blocked: text },
      exits: fc.dictionary(fc.string({ minLength: 1 }), int, { noNullPrototype: true }),
    });
    const messages = fc.record({
      status: fc.constantFrom(null, exampleStatus),
      finals: fc.array(fc.record({ id: text, state: fc.constantFrom('done', 'cancelled') })),
      accepted: fc.array(text, { maxLength: 200 }),
      progress: fc.array(progress),
      request: fc.option(fc.record({ from: text, id: long, method: text, path: text, body })),
      reply: fc.option(fc.record({ id: long, status: int, body })),
    });
    fc.assert(
      fc.property(messages, (message) => {
        const bytes = encodePeerMessage(message);
        assert.deepEqual(encodePeerMessage(decodePeerMessage(bytes)), bytes);
      }),
      { seed: 6, numRuns: 200 },
    );
  });
});

describe('decodePeerMessage', () => {
  it('throws only UnreadablePeerMessageError on random bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => {
        try {
          decodePeerMessage(Buffer.from(bytes));
        } catch (err) {
          assert.ok(err instanceof UnreadablePeerMessageError);
        }
      }),
      { seed: 5, numRuns: 500 },
    );
  });

  it('throws on every truncated message and on trailing bytes', () => {
    const bytes = encodePeerMessage(exampleMessage);
    for (let end = 0; end < bytes.length; end++) {
      const truncated = bytes.subarray(0, end);
      assert.throws(() => decodePeerMessage(truncated), isCausedByEncoding, `${end} bytes`);
    }
    const trailing = Buffer.concat([bytes, Buffer.from([0])]);
    assert.throws(() => decodePeerMessage(trailing), isCausedByEncoding);
  });

  it('throws on unknown types and symbols', () => {
    const empty = encodePeerMessage(EMPTY_MESSAGE);
    // The first byte is the index of the status's type in its union.
    const unknownType = Buffer.concat([Buffer.from([4]), empty.subarray(1)]);
    assert.throws(() => decodePeerMessage(unknownType), /unknown/);
    const unknownSymbol = encodePeerMessage({
      ...EMPTY_MESSAGE,
      finals: [{ id: 'req-1', state: 'done' }],
    });
    unknownSymbol[unknownSymbol.indexOf('req-1') + 'req-1'.length] = 4;
    assert.throws(() => decodePeerMessage(unknownSymbol), /unknown type or symbol/);
  });

  // Guards against memory exhaustion: without validation, avsc allocates memory for all announced items
  // before it reads them, and a message of a few bytes ended the process.
  const counts = [
    [0xfe, 0xff, 0xff, 0xff, 0x0f],
    [0xff, 0xff, 0xff, 0xff, 0x0f, 2],
    [0xfe, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f],
  ];
  for (const [field, prefix] of Object.entries({ finals: [0], accepted: [0, 0] }))
    for (const count of counts) {
      const hex = Buffer.from(count).toString('hex');
      it(`throws if ${field} announces more items than it has bytes (count ${hex})`, () => {
        assert.throws(() => decodePeerMessage(Buffer.from([...prefix, ...count])), /more items/);
      });
    }

  it('throws on a string whose announced length is above the length of the message', () => {
    const longText = Buffer.from([2, 0xfe, 0xff, 0xff, 0xff, 0x0f]);
    assert.throws(() => decodePeerMessage(longText), /length/);
  });
});
