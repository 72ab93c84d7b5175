/** The receiving end of a connection from another controller. */
import type net from 'node:net';
import { FrameDecoder, TruncatedFrameError } from './framing.js';

/** Takes what arrives on the connections from other controllers. */
export interface PeerFrameHandler {
  /** A complete frame; its message has not been decoded yet. */
  peerFrame(bytes: Buffer): void;
  /** What arrived can't be read: the connection ends, or has ended, and its rest is dropped. */
  peerConnectionFailed(err: Error): void;
}

/** Reads frames from a connection until it ends, and closes it then; never throws. */
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
