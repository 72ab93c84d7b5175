/** The sending end of a connection to another controller. */
import net from 'node:net';
import { splitAddress } from '../runtime/address.js';

/** Bytes that may wait for a slow peer; while there are more, frames to it are dropped. */
const MAX_BACKLOG_BYTES = 256 * 1024;

/** Connects when there is something to send, and again after a pause when the connection was lost. */
export class PeerLink {
  private socket: net.Socket | null = null;
  /** No connection is tried before then, on the steady clock. */
  private retryAt = 0;

  /** `addr`: `host:port` of the peer; `retryMs`: the least time between two attempts to connect. */
  constructor(
    private readonly addr: string,
    private readonly retryMs: number,
  ) {}

  /** Sends a frame; it is dropped where the peer can't be reached or takes too little. */
  send(frame: Buffer): void {
    const socket = this.socket ?? this.connect();
    if (socket === null || socket.writableLength > MAX_BACKLOG_BYTES) return;
    socket.write(frame);
  }

  private connect(): net.Socket | null {
    const now = performance.now();
    if (now < this.retryAt) return null;
    this.retryAt = now + this.retryMs;
    const socket = net.connect({ ...splitAddress(this.addr), noDelay: true });
    this.socket = socket;
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      if (this.socket === socket) this.socket = null;
    });
    // The peer answers on a connection of its own: whatever arrives on this one is no peer's.
    socket.on('data', () => socket.destroy());
    return socket;
  }
}
