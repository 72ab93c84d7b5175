/** The environment of a controller in production: Node's clocks, timers and sockets. */
import net from 'node:net';
import { HttpClient } from '../http/client.js';
import type { Sockets } from '../http/sockets.js';
import { frame } from '../peers/framing.js';
import { decodeBody, encodeBody } from '../wire/cbor.js';
import type { Call, Env, Reply, Timer } from './env.js';

/** What the environment is given at start. */
export interface NodeEnvOptions {
  sockets: Sockets;
  random: () => number;
  peers: { host: string; addr: string }[];
  /** A connection to a peer is tried again after this time. */
  peerRetryMs: number;
}

/** The world as Node gives it: clocks, timers, sockets. */
export class NodeEnv implements Env {
  private readonly client: HttpClient;
  private readonly sockets: Sockets;
  private readonly links = new Map<string, PeerLink>();
  readonly random: () => number;

  constructor(options: NodeEnvOptions) {
    this.random = options.random;
    this.sockets = options.sockets;
    this.client = new HttpClient({
      ...{ sockets: options.sockets, perHost: 12, idleMs: 30_000 },
      maxBodyBytes: 16 * 1024 * 1024,
    });
    for (const p of options.peers)
      this.links.set(p.host, new PeerLink(p.addr, options.peerRetryMs));
  }

  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  soon(fn: () => void): void {
    setImmediate(fn);
  }

  timer(ms: number, fn: () => void): Timer {
    const t = setTimeout(fn, ms);
    return { cancel: () => clearTimeout(t) };
  }

  call(call: Call, done: (reply: Reply) => void): void {
    const body = call.body === undefined ? null : encodeBody(call.body);
    this.client.request(call.to, call.method, call.path, body, call.timeoutMs, (m) => {
      if (m === null) return done({ status: 0, body: null });
      let value: unknown = null;
      try {
        if (m.body.length > 0) value = decodeBody(m.body);
      } catch {
        // A broken answer is none.
        return done({ status: 0, body: null });
      }
      done({ status: m.status, body: value });
    });
  }

  mayCall(to: string): boolean {
    return !this.sockets.short || this.client.connected(to);
  }

  sendPeer(host: string, bytes: Buffer): void {
    this.links.get(host)?.send(frame(bytes));
  }
}

/** Bytes that may wait for a slow peer before messages to it are dropped. */
const BACKLOG = 256 * 1024;

class PeerLink {
  private socket: net.Socket | null = null;
  private retryAt = 0;

  constructor(
    private readonly addr: string,
    private readonly retryMs: number,
  ) {}

  send(bytes: Buffer): void {
    const socket = this.socket ?? this.open();
    if (socket === null || socket.writableLength > BACKLOG) return;
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
