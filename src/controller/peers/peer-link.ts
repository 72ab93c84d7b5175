/** The sending end of a connection to another controller. */
import net from 'node:net';

/** Bytes that may wait for a slow peer before messages to it are dropped. */
const BACKLOG_BYTES = 256 * 1024;

/** Opens the connection when there is something to send, and again after a pause when it was lost. */
export class PeerLink {
  private socket: net.Socket | null = null;
  private retryAt = 0;

  constructor(
    private readonly addr: string,
    private readonly retryMs: number,
  ) {}

  /** Sends a frame; it is dropped where the peer can't be reached or takes too little. */
  send(bytes: Buffer): void {
    const socket = this.socket ?? this.open();
    if (socket === null || socket.writableLength > BACKLOG_BYTES) return;
    socket.write(bytes);
  }

  private open(): net.Socket | null {
    const now = performance.now();
    if (now < this.retryAt) return null;
    this.retryAt = now + this.retryMs;
    const colon = this.addr.lastIndexOf(':');
    const socket = net.connect({
      host: this.addr.slice(0, colon),
      port: Number(this.addr.slice(colon + 1)),
      noDelay: true,
    });
    this.socket = socket;
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      if (this.socket === socket) this.socket = null;
    });
    // Nothing is ever said on this side of a link.
    socket.on('data', () => socket.destroy());
    return socket;
  }
}
