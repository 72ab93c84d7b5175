/** The runtime of a controller in production: Node's clocks, timers and sockets. */
import { HttpClient } from '../http/client.js';
import type { HttpMessage } from '../http/parser.js';
import type { SocketBudget } from '../http/socket-budget.js';
import { encodeFrame } from '../peers/framing.js';
import { PeerLink } from '../peers/peer-link.js';
import { decodeBody, encodeBody } from '../wire/cbor.js';
import type { Call, Reply, Runtime, Timer } from '../runtime/runtime.js';

/** Most connections to one address. */
const MAX_CONNECTIONS_PER_HOST = 12;
/** An unused connection is closed after this time. */
const CONNECTION_IDLE_MS = 30_000;
/** Largest response body that is read. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** What a `NodeRuntime` is made of. */
export interface NodeRuntimeOptions {
  /** Shared with the servers of the process. */
  sockets: SocketBudget;
  /** Uniform in [0, 1). */
  random: () => number;
  /** The other controllers, with the addresses that they listen on for peers. */
  peers: { host: string; addr: string }[];
  /** Least time between two attempts to connect to a peer. */
  peerRetryMs: number;
}

/** Implements the runtime with Node's event loop; it lives as long as the process. */
export class NodeRuntime implements Runtime {
  private readonly client: HttpClient;
  private readonly sockets: SocketBudget;
  private readonly peerLinks = new Map<string, PeerLink>();
  readonly random: () => number;
  /** The monotonic clock counts from the start of the process. */
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
      this.peerLinks.set(host, new PeerLink(addr, options.peerRetryMs));
  }

  /** Monotonic clock in milliseconds. */
  now(): number {
    return performance.now();
  }

  /** Milliseconds since the Unix epoch. */
  wallClock(): number {
    return Date.now();
  }

  /** Runs `fn` once the present I/O events have been handled. */
  defer(fn: () => void): void {
    setImmediate(fn);
  }

  /** Runs `fn` once after `delayMs`. */
  startTimer(delayMs: number, fn: () => void): Timer {
    const timeout = setTimeout(fn, delayMs);
    return { cancel: () => clearTimeout(timeout) };
  }

  /** Sends a request. A response that is no CBOR counts as none: status 0. */
  call(call: Call, done: (reply: Reply) => void): void {
    const body = call.body === undefined ? null : encodeBody(call.body);
    this.client.request(call.to, call.method, call.path, body, call.timeoutMs, (response) =>
      done(response === null ? NO_REPLY : decodeReply(response)),
    );
  }

  /** Sockets are not scarce, or a connection to the address is idle. */
  hasSpareConnection(to: string): boolean {
    return !this.sockets.exhausted || this.client.hasIdleConnection(to);
  }

  /** Sends a message to a peer; it is dropped while the peer is slow or unreachable. */
  sendPeer(host: string, bytes: Buffer): void {
    this.peerLinks.get(host)?.send(encodeFrame(bytes));
  }
}

const NO_REPLY: Reply = { status: 0, body: null };

function decodeReply({ status, body }: HttpMessage): Reply {
  try {
    return { status, body: body.length > 0 ? decodeBody(body) : null };
  } catch {
    // Whether the request was carried out is as unknown as without response.
    return NO_REPLY;
  }
}
