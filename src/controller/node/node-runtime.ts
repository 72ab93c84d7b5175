/** Runtime of a controller in production, with Node's clocks, timers and sockets. */
import { HttpClient } from '../http/client.js';
import type { HttpMessage } from '../http/parser.js';
import type { SocketBudget } from '../http/socket-budget.js';
import { encodeFrame } from '../peers/framing.js';
import { PeerLink } from '../peers/peer-link.js';
import { decodeBody, encodeBody } from '../wire/cbor.js';
import type { Call, Reply, Runtime, Timer } from '../runtime/runtime.js';

/** Largest number of connections to one address. */
const MAX_CONNECTIONS_PER_HOST = 12;
/** Idle time-out of an outgoing connection. */
const CONNECTION_IDLE_MS = 30_000;
/** Largest size of a response body that is accepted. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Options of a `NodeRuntime`. */
export interface NodeRuntimeOptions {
  /** The socket budget that the runtime shares with the servers of the process. */
  sockets: SocketBudget;
  /** Returns random numbers that are uniformly distributed in [0, 1). */
  random: () => number;
  /** The other controllers, with the addresses on which they accept peer connections. */
  peers: { host: string; addr: string }[];
  /** Shortest time between two attempts to connect to a peer. */
  peerRetryMs: number;
}

/** Implements `Runtime` with Node's event loop. One instance serves the whole life of the process. */
export class NodeRuntime implements Runtime {
  private readonly client: HttpClient;
  private readonly sockets: SocketBudget;
  private readonly peerLinks = new Map<string, PeerLink>();
  readonly random: () => number;
  /** 0, because the monotonic clock (`performance.now`) counts from the start of the process. */
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

  /** Returns the time on the monotonic clock, in milliseconds. */
  now(): number {
    return performance.now();
  }

  /** Returns the milliseconds since the Unix epoch. */
  wallClock(): number {
    return Date.now();
  }

  /** Runs `fn` after the I/O events that are already pending have been handled. */
  defer(fn: () => void): void {
    setImmediate(fn);
  }

  /** Runs `fn` once after `delayMs`. */
  startTimer(delayMs: number, fn: () => void): Timer {
    const timeout = setTimeout(fn, delayMs);
    return { cancel: () => clearTimeout(timeout) };
  }

  /** Sends a request. A response whose body is not valid CBOR counts as no response: its status is 0. */
  call(call: Call, done: (reply: Reply) => void): void {
    const body = call.body === undefined ? null : encodeBody(call.body);
    this.client.request(call.to, call.method, call.path, body, call.timeoutMs, (response) =>
      done(response === null ? NO_REPLY : decodeReply(response)),
    );
  }

  /** Whether the socket budget is not exhausted, or there is an idle connection to the address. */
  hasSpareConnection(to: string): boolean {
    return !this.sockets.exhausted || this.client.hasIdleConnection(to);
  }

  /** Sends a message to a peer. The message is dropped if the peer is slow or unreachable. */
  sendPeer(host: string, bytes: Buffer): void {
    this.peerLinks.get(host)?.send(encodeFrame(bytes));
  }
}

const NO_REPLY: Reply = { status: 0, body: null };

function decodeReply({ status, body }: HttpMessage): Reply {
  try {
    return { status, body: body.length > 0 ? decodeBody(body) : null };
  } catch {
    // The request may or may not have been carried out, just as when no response arrives.
    return NO_REPLY;
  }
}
