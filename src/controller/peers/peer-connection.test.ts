import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { after, before, beforeEach, describe, it } from 'node:test';
import { encodeFrame } from './framing.js';
import { readPeerConnection } from './peer-connection.js';

describe('readPeerConnection', () => {
  const completeFrame = encodeFrame(Buffer.from('news'));
  let messages: string[] = [];
  let errors: string[] = [];
  const server = net.createServer((socket) => {
    readPeerConnection(socket, {
      peerFrame: (bytes) => messages.push(bytes.toString()),
      peerConnectionFailed: (err) => errors.push(err.name),
    });
  });

  before(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });
  after(() => server.close());
  beforeEach(() => {
    messages = [];
    errors = [];
  });

  /** Sends bytes on a new connection and ends it; returns once the receiver has closed the connection. */
  async function send(bytes: Buffer): Promise<void> {
    const accepted = once(server, 'connection') as Promise<[net.Socket]>;
    const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
    socket.on('error', () => socket.destroy());
    const [receiver] = await accepted;
    const closed = once(receiver, 'close');
    socket.end(bytes);
    await closed;
  }

  it('passes complete messages to the handler', async () => {
    await send(Buffer.concat([completeFrame, completeFrame]));
    assert.deepEqual(messages, ['news', 'news']);
    assert.deepEqual(errors, []);
  });

  const failures = [
    {
      title: 'the frame after a complete one is truncated',
      bytes: Buffer.concat([completeFrame, completeFrame.subarray(0, 6)]),
      expected: { messages: ['news'], errors: ['TruncatedFrameError'] },
    },
    {
      title: 'a frame is too large',
      bytes: Buffer.alloc(5000, 0xff),
      expected: { messages: [], errors: ['FrameTooLargeError'] },
    },
    {
      title: "a frame's length is truncated",
      bytes: completeFrame.subarray(0, 2),
      expected: { messages: [], errors: ['TruncatedFrameError'] },
    },
  ];
  for (const { title, bytes, expected } of failures)
    it(`reports one failure if ${title}, and reads the next connection`, async () => {
      await send(bytes);
      assert.deepEqual({ messages, errors }, expected);
      await send(completeFrame);
      assert.deepEqual(
        { messages, errors },
        {
          messages: [...expected.messages, 'news'],
          errors: expected.errors,
        },
      );
    });
});
