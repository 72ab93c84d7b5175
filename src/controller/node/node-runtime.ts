/** The environment of a controller in production: Node's clocks, timers and sockets. */
import { HttpClient } from '../http/client.js';
import type { HttpMessage } from '../http/parser.js';
import type { SocketBudget } from '../http/socket-budget.js';
import { encodeFrame } from '../peers/framing.js';
import { decodeBody, encodeBody } from '../wire/cbor.js';
import type { Call, Runtime, Reply, Timer } from '../runtime/runtime.js';
import { PeerLink } from '../peers/peer-link.js';

/** Connections to one address at most, and how long one is kept without use. */
const MAX_CONNECTIONS_PER_HOST = 12;
const CONNECTION_IDLE_MS = 30_000;
/** The largest answer that is read. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** What the environment is given at start. */
export interface NodeRuntimeOptions {
  sockets: SocketBudget;
  random: () => number;
  peers: { host: string; addr: string }[];
  /** A connection to a peer is tried again after this time. */
  peerRetryMs: number;
}

/** The world as Node gives it: clocks, timers, sockets. */
export class NodeRuntime implements Runtime {
  private readonly client: HttpClient;
  private readonly sockets: SocketBudget;
  private readonly links = new Map<string, PeerLink>();
  readonly random: () => number;
  /** The steady clock counts from the start of the process. */
  readonly startedAt = 0;

  constructor(options: NodeRuntimeOptions) {
    this.random = options.random;
    this.sockets = options.sockets;
    this.client = new HttpClient({
      sockets: options.sockets,
      maxConnectionsPerHost: MAX_CONNECTIONS_PER_HOST,
      idleTimeoutMs: CONNECTION_IDLE_MS,
      maxBodyBytes: MAX_RESPONSE_BYTES,
    });
    for (const { host, addr } of options.peers)
      this.links.set(host, new PeerLink(addr, options.peerRetryMs));
  }

  /** Steady clock in milliseconds. */
  now(): number {
    return performance.now();
  }

  /** Time of day in milliseconds. */
  wallClock(): number {
    return Date.now();
  }

  /** Runs `fn` once the present events have been handled. */
  defer(fn: () => void): void {
    setImmediate(fn);
  }

  /** Runs `fn` once after `ms`. */
  startTimer(ms: number, fn: () => void): Timer {
    const timeout = setTimeout(fn, ms);
    return { cancel: () => clearTimeout(timeout) };
  }

  /** Sends a request; a broken answer counts as none. */
  call(call: Call, done: (reply: Reply) => void): void {
    const body = call.body === undefined ? null : encodeBody(call.body);
    this.client.request(call.to, call.method, call.path, body, call.timeoutMs, (response) =>
      done(response === null ? NO_REPLY : readReply(response)),
    );
  }

  /** Sockets are not short, or a connection to the address is open. */
  hasSpareConnection(to: string): boolean {
    return !this.sockets.exhausted || this.client.hasIdleConnection(to);
  }

  /** Sends a message to a peer, or drops it while the peer is slow or away. */
  sendPeer(host: string, bytes: Buffer): void {
    this.links.get(host)?.send(encodeFrame(bytes));
  }
}

const NO_REPLY: Reply = { status: 0, body: null };

function readReply({ status, body }: HttpMessage): Reply {
  try {
    return { status, body: body.length > 0 ? decodeBody(body) : null };
  } catch {
    // A broken answer is none.
    return NO_REPLY;
  }
}
