/** The receiving end of a connection from another controller. */
import type net from 'node:net';
import { TruncatedFrameError, Unframer } from './framing.js';

/** Takes what arrives on the connections from other controllers. */
export interface PeerSink {
  /** A whole message, as yet unread. */
  peerFrame(bytes: Buffer): void;
  /** What arrived can't be read: the connection ends, or has ended, and its rest is dropped. */
  peerBroken(err: Error): void;
}

/** Reads messages from a connection until it ends; never throws. */
export function readPeer(socket: net.Socket, sink: PeerSink): void {
  const unframer = new Unframer();
  let broken = false;
  const fail = (err: Error): void => {
    if (broken) return;
    broken = true;
    sink.peerBroken(err);
    socket.destroy();
  };
  socket.on('data', (bytes) => {
    if (broken) return;
    try {
      for (const message of unframer.push(bytes)) sink.peerFrame(message);
    } catch (err) {
      fail(err as Error);
    }
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    if (unframer.partial) fail(new TruncatedFrameError());
  });
}
