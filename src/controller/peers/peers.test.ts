import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { EventLoop } from '../runtime/event-loop.js';
import type { Runtime, Logger } from '../runtime/runtime.js';
import { seededRandom } from '../runtime/random.js';
import { AvroEncodingError } from './avro-validation.js';
import { encodeFrame, FrameTooLargeError, FrameDecoder } from './framing.js';
import {
  decodePeerMessage,
  EMPTY_MESSAGE,
  encodePeerMessage,
  type PeerMessage,
} from './message.js';
import { Peers } from './peers.js';

const message: PeerMessage = {
  status: {
    host: 'kiln-1',
    identity: 'x',
    stateOkAgeMs: 12.5,
    leaderHost: '',
    term: 7,
    wantedWrites: 1.5,
    strayReports: 0.5,
  },
  finals: [{ id: 'req-1', state: 'done' }],
  accepted: ['req-3'],
  progress: [
    { id: 'req-2', state: 'running', done: 1, running: 2, exits: { error: 1 }, blocked: '' },
  ],
  request: {
    from: 'kiln-1',
    id: 3,
    method: 'GET',
    path: '/submissions/req-1',
    body: Buffer.from('x'),
  },
  reply: null,
};

describe('peers', () => {
  it('round-trips messages through frames cut anywhere', () => {
    const bytes = Buffer.concat([
      encodeFrame(encodePeerMessage(message)),
      encodeFrame(encodePeerMessage(message)),
    ]);
    for (let cut = 1; cut < bytes.length; cut++) {
      const u = new FrameDecoder();
      const got = [...u.push(bytes.subarray(0, cut)), ...u.push(bytes.subarray(cut))];
      assert.equal(got.length, 2);
      for (const g of got)
        assert.equal(JSON.stringify(decodePeerMessage(g)), JSON.stringify(message));
    }
  });

  // A process back in a fraction of a second numbered its requests from 1 again, as the one before.
  it('takes no answer that was meant for the process before on its host', () => {
    const nothing = (): void => undefined;
    const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };
    const ids: number[] = [];
    for (const seed of [1, 2]) {
      const random = seededRandom(seed);
      const runtime: Runtime = {
        startedAt: -Infinity,
        now: () => 0,
        wallClock: () => 0,
        random,
        defer: nothing,
        startTimer: () => ({ cancel: nothing }),
        call: nothing,
        hasSpareConnection: () => true,
        sendPeer: (_, bytes) => ids.push(decodePeerMessage(bytes).request?.id ?? -1),
      };
      const { status } = message;
      assert.ok(status);
      const peers = new Peers(new EventLoop(runtime, silent), ['kiln-2'], () => status, {
        ...{
          jobAccepted: nothing,
          statusReceived: nothing,
          jobEnded: nothing,
          jobProgressed: nothing,
        },
        requestForwarded: nothing,
      });
      for (let i = 0; i < 100; i++)
        peers.forward('kiln-2', 'GET', '/submissions/req-1', Buffer.alloc(0), 1000, nothing);
    }
    assert.equal(new Set(ids).size, 200);
  });

  it('refuses broken bytes without harm', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => {
        try {
          decodePeerMessage(Buffer.from(bytes));
        } catch (err) {
          assert.ok(err instanceof Error);
        }
      }),
      { seed: 5, numRuns: 500 },
    );
    assert.throws(
      () => new FrameDecoder().push(Buffer.from([255, 255, 255, 255])),
      FrameTooLargeError,
    );
  });

  // Older versions read these bytes, and their messages bear no version.
  it('writes the bytes that the version 6cbc17f wrote', () => {
    const reply = { id: 3, status: 200, body: Buffer.from('y') };
    const written = [
      '020c6b696c6e2d3102780000000000002940000e000000000000f83f000000000000e03f',
      '020a7265712d310000020a7265712d3300',
      '020a7265712d32020204020a6572726f7202000000',
      '020c6b696c6e2d3106',
      '06474554242f7375626d697373696f6e732f7265712d310278',
      '020690030279',
    ];
    const bytes = encodePeerMessage({ ...message, reply });
    assert.equal(bytes.toString('hex'), written.join(''));
    assert.equal(
      JSON.stringify(decodePeerMessage(Buffer.from(written.join(''), 'hex'))),
      JSON.stringify({ ...message, reply }),
    );
  });

  it('refuses every part of a message, and bytes after its end', () => {
    const bytes = encodePeerMessage(message);
    for (let end = 0; end < bytes.length; end++)
      assert.throws(
        () => decodePeerMessage(bytes.subarray(0, end)),
        AvroEncodingError,
        `${end} bytes`,
      );
    assert.throws(
      () => decodePeerMessage(Buffer.concat([bytes, Buffer.from([0])])),
      AvroEncodingError,
    );
  });

  it('refuses unknown types and symbols', () => {
    const empty = encodePeerMessage(EMPTY_MESSAGE);
    // The first byte chooses among the types of the status.
    assert.throws(
      () => decodePeerMessage(Buffer.concat([Buffer.from([4]), empty.subarray(1)])),
      /unknown/,
    );
    const end = encodePeerMessage({ ...EMPTY_MESSAGE, finals: [{ id: 'req-1', state: 'done' }] });
    const symbol = end.indexOf('req-1') + 'req-1'.length;
    end[symbol] = 4;
    assert.throws(() => decodePeerMessage(end), /unknown/);
  });

  // avsc alone takes memory for all of them first: a few bytes ended the process.
  it('refuses more items than there are bytes, at once', () => {
    for (const lists of [[0], [0, 0]])
      for (const count of [
        [0xfe, 0xff, 0xff, 0xff, 0x0f],
        [0xff, 0xff, 0xff, 0xff, 0x0f, 2],
        [0xfe, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f],
      ])
        assert.throws(() => decodePeerMessage(Buffer.from([...lists, ...count])), /more items/);
    const longText = Buffer.from([2, 0xfe, 0xff, 0xff, 0xff, 0x0f]);
    assert.throws(() => decodePeerMessage(longText), /length/);
  });

  it('reads whatever it writes', () => {
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
      status: fc.constantFrom(null, message.status),
      finals: fc.array(fc.record({ id: text, state: fc.constantFrom('done', 'cancelled') })),
      accepted: fc.array(text, { maxLength: 200 }),
      progress: fc.array(progress),
      request: fc.option(fc.record({ from: text, id: long, method: text, path: text, body })),
      reply: fc.option(fc.record({ id: long, status: int, body })),
    });
    fc.assert(
      fc.property(messages, (written) => {
        const bytes = encodePeerMessage(written);
        assert.deepEqual(encodePeerMessage(decodePeerMessage(bytes)), bytes);
      }),
      { seed: 6, numRuns: 200 },
    );
  });
});
