/** The sending side of a connection to another controller. */
import net from 'node:net';
import { splitAddress } from '../runtime/address.js';

/** Limit, in bytes, on the data buffered for a slow peer; above it, further frames are dropped. */
const MAX_BACKLOG_BYTES = 256 * 1024;

/** Connects when a frame is to be sent, and reconnects for a later frame if the connection was lost. */
export class PeerLink {
  private socket: net.Socket | null = null;
  /** Earliest time of the next attempt to connect, on the monotonic clock in milliseconds. */
  private retryAt = 0;

  /**
   * @param addr - the `host:port` of the peer
   * @param retryMs - the shortest time between two attempts to connect, in milliseconds
   */
  constructor(
    private readonly addr: string,
    private readonly retryMs: number,
  ) {}

  /** Sends a frame. Drops it if the peer cannot be reached or reads too slowly. */
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
    // Peers reply on the connections that they open themselves, so data on this one is not from a peer.
    socket.on('data', () => socket.destroy());
    return socket;
  }
}
