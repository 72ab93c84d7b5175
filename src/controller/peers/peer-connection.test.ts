import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { after, before, describe, it } from 'node:test';
import { encodeFrame } from './framing.js';
import { readPeerConnection } from './peer-connection.js';

describe('connections from peers', () => {
  const messages: string[] = [];
  const errors: Error[] = [];
  const server = net.createServer((socket) => {
    readPeerConnection(socket, {
      peerFrame: (bytes) => messages.push(bytes.toString()),
      peerConnectionFailed: (err) => errors.push(err),
    });
  });

  before(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });
  after(() => server.close());

  /** Sends bytes on a connection of their own and ends it; returns once the other side has closed it. */
  async function send(bytes: Buffer): Promise<void> {
    const accepted = once(server, 'connection') as Promise<[net.Socket]>;
    const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
    socket.on('error', () => socket.destroy());
    const [other] = await accepted;
    const closed = once(other, 'close');
    socket.end(bytes);
    await closed;
  }

  it('pass on whole messages; a frame that is cut off or too large is told once', async () => {
    const whole = encodeFrame(Buffer.from('news'));
    await send(Buffer.concat([whole, whole]));
    assert.deepEqual(messages, ['news', 'news']);
    assert.equal(errors.length, 0);

    await send(Buffer.concat([whole, whole.subarray(0, 6)]));
    await send(Buffer.alloc(5000, 0xff));
    await send(whole.subarray(0, 2));
    assert.deepEqual(
      errors.map((err) => err.name),
      ['TruncatedFrameError', 'FrameTooLargeError', 'TruncatedFrameError'],
    );

    await send(whole);
    assert.deepEqual(messages, ['news', 'news', 'news', 'news']);
    assert.equal(errors.length, 3);
  });
});
