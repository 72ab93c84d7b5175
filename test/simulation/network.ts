/** The simulated network between the hosts. */
import type { Call, Reply } from '../../src/controller/runtime/runtime.js';
import { decodeBody, encodeBody } from '../../src/controller/wire/cbor.js';
import type { SeededRandom } from './seeded-random.js';
import type { VirtualClock } from './virtual-clock.js';

/** Sends the response to an incoming request. */
export type Respond = (reply: Reply) => void;

/** A request as delivered to its handler. */
export interface IncomingRequest {
  method: string;
  path: string;
  bytes: Buffer;
  /**
   * Whether the request is an additional copy of another request. False for original requests and
   * for retained copies of heartbeats.
   */
  duplicate: boolean;
  /** Decodes `bytes`; returns undefined if the request has no body. */
  body(): unknown;
}

/** Handles the requests that arrive at an address. */
export type RequestHandler = (from: string, request: IncomingRequest, respond: Respond) => void;

/**
 * What happens to messages on a cut connection: `hold` delivers them when the connection is
 * restored, `reset` loses them.
 */
export type CutMode = 'hold' | 'reset';

/** Maximum one-way latency while the network is not slowed down, in milliseconds. */
export const USUAL_MAX_LATENCY_MS = 2;

/** Shortest time after which a copy of a request is delivered, in milliseconds; longer than a usual latency. */
const MIN_COPY_DELAY_MS = 5;

const NO_BYTES = Buffer.alloc(0);

/** The value that a caller receives if no reply arrives. */
const NO_REPLY: Reply = { status: 0, body: null };

function toIncomingRequest(call: Call): IncomingRequest {
  const bytes = call.body === undefined ? NO_BYTES : encodeBody(call.body);
  return {
    ...{ method: call.method, path: call.path, bytes, duplicate: false },
    body: () => (bytes.length === 0 ? undefined : decodeBody(bytes)),
  };
}

/** Carries messages between named hosts, with latency, cuts, long delays and duplicates. */
export class Network {
  private readonly services = new Map<string, { host: string; serve: RequestHandler }>();
  private readonly cuts = new Map<string, CutMode>();
  private heldMessages: { from: string; to: string; run: () => void }[] = [];
  /** Probability that a POST request is delivered a second time, possibly much later. */
  duplicated = 0;
  /** Maximum delay of a duplicate, in milliseconds. */
  maxDuplicateDelayMs = 40_000;
  /** Fraction of the heartbeats that are delivered a second time, at least 2 s later. */
  duplicatedHeartbeats = 0;
  /** Number of copies of requests delivered so far, including retained heartbeats. */
  duplicatesDelivered = 0;
  /** Number of copies of each direct command, each delivered up to `maxDuplicateDelayMs` later. */
  copiesOfCommands = 0;
  /** Fraction of the direct commands that are delayed. */
  delayedCommands = 0;
  /** Number of delayed direct commands delivered so far. */
  delayedCommandsDelivered = 0;
  /** Fraction of the heartbeats that are copied; `deliverRetained` delivers the copies later. */
  retainedHeartbeats = 0;
  private retainedRequests: { from: string; request: IncomingRequest }[] = [];
  /** Current maximum one-way latency, in milliseconds. */
  maxLatencyMs = USUAL_MAX_LATENCY_MS;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
  ) {}

  /** Registers `serve` as the handler of requests to `address`, which belongs to `host`. */
  listen(address: string, host: string, serve: RequestHandler): void {
    this.services.set(address, { host, serve });
  }

  /** Removes the handler of an address; requests to it then get no reply. */
  remove(address: string): void {
    this.services.delete(address);
  }

  /** Cuts the connection between two hosts in both directions. */
  cut(a: string, b: string, mode: CutMode): void {
    this.cutOneWay(a, b, mode);
    this.cutOneWay(b, a, mode);
  }

  /** Cuts the connection in one direction only. */
  cutOneWay(from: string, to: string, mode: CutMode): void {
    this.cuts.set(`${from} ${to}`, mode);
  }

  /** Restores the connection in both directions and delivers the held messages. */
  heal(a: string, b: string): void {
    this.cuts.delete(`${a} ${b}`);
    this.cuts.delete(`${b} ${a}`);
    if (this.heldMessages.length === 0) return;
    const released = this.heldMessages.filter(
      (message) => !this.cuts.has(`${message.from} ${message.to}`),
    );
    this.heldMessages = this.heldMessages.filter((message) =>
      this.cuts.has(`${message.from} ${message.to}`),
    );
    for (const message of released) this.clock.after(this.random.between(0.2, 3), message.run);
  }

  private cutOf(from: string, to: string): CutMode | undefined {
    return this.cuts.size === 0 ? undefined : this.cuts.get(`${from} ${to}`);
  }

  /**
   * Delivers a message after a random latency. If the connection is cut, the mode of the cut
   * applies: `hold` keeps the message until the connection is restored, `reset` loses it and calls
   * `onLost`.
   */
  send(from: string, to: string, deliver: () => void, onLost: () => void): void {
    const cut = this.cutOf(from, to);
    if (cut === 'reset') this.clock.after(1, onLost);
    else if (cut === 'hold') this.heldMessages.push({ from, to, run: deliver });
    else {
      this.clock.after(this.random.between(0.2, this.maxLatencyMs), () => {
        // The connection may have been cut while the message was in transit.
        const currentCut = this.cutOf(from, to);
        if (currentCut === undefined) deliver();
        else if (currentCut === 'hold') this.heldMessages.push({ from, to, run: deliver });
        else onLost();
      });
    }
  }

  /**
   * Delivers each retained heartbeat once to each of the addresses. Each delivery takes place after
   * a random time between `afterMs` and `afterMs + 50`.
   */
  deliverRetained(addresses: readonly string[], afterMs: number): void {
    const { retainedRequests } = this;
    this.retainedRequests = [];
    for (const { from, request } of retainedRequests)
      for (const address of addresses)
        this.clock.after(afterMs + this.random.between(0, 50), () => {
          const service = this.services.get(address);
          if (service === undefined) return;
          this.duplicatesDelivered++;
          service.serve(from, request, () => undefined);
        });
  }

  /**
   * Delays a random share of the direct commands. A delayed command is delivered once, 2 to 16 s
   * later, and gets no response. Returns whether the call is delayed.
   */
  private tryDelay(call: Call, deliver: (respond: Respond) => void): boolean {
    if (call.path !== '/do' || this.delayedCommands === 0) return false;
    if (this.random.next() >= this.delayedCommands) return false;
    this.clock.after(this.random.between(2000, 16_000), () => {
      this.delayedCommandsDelivered++;
      deliver(() => undefined);
    });
    return true;
  }

  /**
   * Sends a request and calls `done` with the reply, or with status 0 if no reply arrives before
   * the time-out. Does not call `done` if the caller has ended by then (`alive()` returns false).
   */
  call(from: string, call: Call, alive: () => boolean, done: (reply: Reply) => void): void {
    const finish = this.replyOnce(call.timeoutMs, alive, done);
    const target = this.services.get(call.to);
    if (target === undefined) {
      this.clock.after(1, () => finish(NO_REPLY));
      return;
    }
    const incomingRequest = toIncomingRequest(call);
    const deliver = (request: IncomingRequest, respond: Respond): void =>
      this.deliver(from, call.to, request, respond);
    if (this.tryDelay(call, (respond) => deliver(incomingRequest, respond))) return;
    const respond = (reply: Reply): void => this.sendReply(target.host, from, reply, finish);
    this.send(
      from,
      target.host,
      () => deliver(incomingRequest, respond),
      () => finish(NO_REPLY),
    );
    this.copyRequest(from, call, incomingRequest, deliver);
  }

  /**
   * Returns a function that passes the first reply to `done` and ignores later replies. If no reply
   * arrives before the time-out, `done` receives `NO_REPLY`.
   */
  private replyOnce(
    timeoutMs: number,
    alive: () => boolean,
    done: (reply: Reply) => void,
  ): (reply: Reply) => void {
    let settled = false;
    const finish = (reply: Reply): void => {
      if (settled) return;
      settled = true;
      timer.cancel();
      if (alive()) done(reply);
    };
    const timer = this.clock.after(timeoutMs, () => finish(NO_REPLY));
    return finish;
  }

  private deliver(from: string, address: string, request: IncomingRequest, respond: Respond): void {
    const service = this.services.get(address);
    if (service === undefined) respond(NO_REPLY);
    else service.serve(from, request, respond);
  }

  private sendReply(from: string, to: string, reply: Reply, finish: (reply: Reply) => void): void {
    const body = reply.body === null ? null : decodeBody(encodeBody(reply.body));
    this.send(
      from,
      to,
      () => finish({ status: reply.status, body }),
      () => finish(NO_REPLY),
    );
  }

  /**
   * Decides at random whether copies of the request are delivered later, and whether a copy is
   * retained until `deliverRetained` is called.
   */
  private copyRequest(
    from: string,
    call: Call,
    request: IncomingRequest,
    deliver: (request: IncomingRequest, respond: Respond) => void,
  ): void {
    const deliverCopyLater = (minDelayMs: number): void => {
      this.clock.after(this.random.between(minDelayMs, this.maxDuplicateDelayMs), () => {
        this.duplicatesDelivered++;
        deliver({ ...request, duplicate: true }, () => undefined);
      });
    };
    if (call.method === 'POST' && this.duplicated > 0 && this.random.next() < this.duplicated)
      deliverCopyLater(MIN_COPY_DELAY_MS);
    if (call.path === '/do')
      for (let copy = 0; copy < this.copiesOfCommands; copy++) deliverCopyLater(MIN_COPY_DELAY_MS);
    if (this.duplicatedHeartbeats > 0 && call.path === '/v1/report')
      if (this.random.next() < this.duplicatedHeartbeats) deliverCopyLater(2000);
    if (this.retainedHeartbeats > 0 && call.path === '/v1/report')
      if (this.random.next() < this.retainedHeartbeats)
        this.retainedRequests.push({ from, request });
  }
}
