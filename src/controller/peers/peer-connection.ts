/** The receiving side of a connection from another controller. */
import type net from 'node:net';
import { FrameDecoder, TruncatedFrameError } from './framing.js';

/** Handles frames and failures of connections from other controllers. */
export interface PeerFrameHandler {
  /** Called with the message of each complete frame; the message is still encoded. */
  peerFrame(bytes: Buffer): void;
  /**
   * Called at most once per connection, when a frame is too large or truncated. The connection is then closed
   * and further bytes are discarded.
   */
  peerConnectionFailed(err: Error): void;
}

/** Reads frames from a connection until it ends or a frame cannot be decoded, then closes it. Does not throw. */
export function readPeerConnection(socket: net.Socket, handler: PeerFrameHandler): void {
  const decoder = new FrameDecoder();
  let failed = false;
  const fail = (err: Error): void => {
    if (failed) return;
    failed = true;
    handler.peerConnectionFailed(err);
    socket.destroy();
  };
  socket.on('data', (bytes) => {
    if (failed) return;
    try {
      for (const frame of decoder.push(bytes)) handler.peerFrame(frame);
    } catch (err) {
      fail(err as Error);
    }
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    if (decoder.hasPartialFrame) fail(new TruncatedFrameError());
  });
}
