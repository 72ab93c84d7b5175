/** The network between the hosts of a simulation. */
import type { Call, Reply } from '../../src/controller/runtime/runtime.js';
import { decodeBody, encodeBody } from '../../src/controller/wire/cbor.js';
import type { SeededRandom } from './seeded-random.js';
import type { VirtualClock } from './virtual-clock.js';

/** Sends the response to a request. */
export type Respond = (reply: Reply) => void;

/** A request as it arrives. */
export interface IncomingRequest {
  method: string;
  path: string;
  bytes: Buffer;
  /** The network delivers it once more, much later than it was sent. */
  duplicate: boolean;
  /** What the bytes say; undefined if there are none. */
  body(): unknown;
}

/** What listens at an address. */
export type RequestHandler = (from: string, request: IncomingRequest, respond: Respond) => void;

/** Messages on a cut way are held back until it heals, or lost. */
export type CutMode = 'hold' | 'reset';

/** How long messages take at most while the network is not slow. */
export const USUAL_MAX_LATENCY_MS = 2;

const NO_BYTES = Buffer.alloc(0);

/** What the caller gets where no reply comes. */
const NO_REPLY: Reply = { status: 0, body: null };

function toIncomingRequest(call: Call): IncomingRequest {
  const bytes = call.body === undefined ? NO_BYTES : encodeBody(call.body);
  return {
    ...{ method: call.method, path: call.path, bytes, duplicate: false },
    body: () => (bytes.length === 0 ? undefined : decodeBody(bytes)),
  };
}

/** Delays, cuts, late and doubled messages between named hosts. */
export class Network {
  private readonly services = new Map<string, { host: string; serve: RequestHandler }>();
  private readonly cuts = new Map<string, CutMode>();
  private heldMessages: { from: string; to: string; run: () => void }[] = [];
  /** Chance that a request arrives a second time, much later. */
  duplicated = 0;
  /** How late such a copy may be. */
  maxDuplicateDelayMs = 40_000;
  /** Share of the heartbeats of which a copy arrives again. */
  duplicatedHeartbeats = 0;
  /** How many copies of messages have arrived. */
  duplicatesDelivered = 0;
  /** Share of the direct commands that are delayed on their way. */
  delayedCommands = 0;
  /** How many of them have arrived late. */
  delayedCommandsDelivered = 0;
  /** Share of the heartbeats of which a copy is kept for the next leader. */
  retainedHeartbeats = 0;
  private retainedRequests: { from: string; arrival: IncomingRequest }[] = [];
  /** Messages take up to this long. */
  maxLatencyMs = USUAL_MAX_LATENCY_MS;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
  ) {}

  /** `serve` answers requests to the address, which is on `host`. */
  listen(address: string, host: string, serve: RequestHandler): void {
    this.services.set(address, { host, serve });
  }

  /** Nothing listens at the address any more. */
  remove(address: string): void {
    this.services.delete(address);
  }

  /** Nothing goes from either host to the other. */
  cut(a: string, b: string, mode: CutMode): void {
    this.cutOneWay(a, b, mode);
    this.cutOneWay(b, a, mode);
  }

  /** Nothing goes from one to the other; the other way is open. */
  cutOneWay(from: string, to: string, mode: CutMode): void {
    this.cuts.set(`${from} ${to}`, mode);
  }

  /** Messages go both ways again, those held back first. */
  heal(a: string, b: string): void {
    this.cuts.delete(`${a} ${b}`);
    this.cuts.delete(`${b} ${a}`);
    if (this.heldMessages.length === 0) return;
    const released = this.heldMessages.filter((h) => !this.cuts.has(`${h.from} ${h.to}`));
    this.heldMessages = this.heldMessages.filter((h) => this.cuts.has(`${h.from} ${h.to}`));
    for (const h of released) this.clock.after(this.random.between(0.2, 3), h.run);
  }

  private cutOf(from: string, to: string): CutMode | undefined {
    return this.cuts.size === 0 ? undefined : this.cuts.get(`${from} ${to}`);
  }

  /** Delivers, holds back or loses. `lost` is called if the sender would notice. */
  send(from: string, to: string, deliver: () => void, onLost: () => void): void {
    const cut = this.cutOf(from, to);
    if (cut === 'reset') this.clock.after(1, onLost);
    else if (cut === 'hold') this.heldMessages.push({ from, to, run: deliver });
    else {
      this.clock.after(this.random.between(0.2, this.maxLatencyMs), () => {
        // A cut may have come while the message was under way.
        const currentCut = this.cutOf(from, to);
        if (currentCut === undefined) deliver();
        else if (currentCut === 'hold') this.heldMessages.push({ from, to, run: deliver });
        else onLost();
      });
    }
  }

  /** The copies kept so far arrive at all the addresses given, within a moment after the time given. */
  deliverRetained(addresses: readonly string[], afterMs: number): void {
    const { retainedRequests: kept } = this;
    this.retainedRequests = [];
    for (const { from, arrival } of kept)
      for (const address of addresses)
        this.clock.after(afterMs + this.random.between(0, 50), () => {
          const service = this.services.get(address);
          if (service === undefined) return;
          this.duplicatesDelivered++;
          service.serve(from, arrival, () => undefined);
        });
  }

  /** Whether the command is delayed; it then arrives once, 2 to 16 s late, and gets no response. */
  private tryDelay(call: Call, deliver: (respond: Respond) => void): boolean {
    if (call.path !== '/do' || this.delayedCommands === 0) return false;
    if (this.random.next() >= this.delayedCommands) return false;
    this.clock.after(this.random.between(2000, 16_000), () => {
      this.delayedCommandsDelivered++;
      deliver(() => undefined);
    });
    return true;
  }

  /** Makes a call; `done` gets the reply, or status 0 where none comes in time, while `alive`. */
  call(from: string, call: Call, alive: () => boolean, done: (reply: Reply) => void): void {
    const finish = this.replyOnce(call.timeoutMs, alive, done);
    const target = this.services.get(call.to);
    if (target === undefined) {
      this.clock.after(1, () => finish(NO_REPLY));
      return;
    }
    const arrival = toIncomingRequest(call);
    const deliver = (request: IncomingRequest, respond: Respond): void =>
      this.deliver(from, call.to, request, respond);
    if (this.tryDelay(call, (respond) => deliver(arrival, respond))) return;
    const respond = (reply: Reply): void => this.sendReply(target.host, from, reply, finish);
    this.send(
      from,
      target.host,
      () => deliver(arrival, respond),
      () => finish(NO_REPLY),
    );
    this.copyRequest(from, call, arrival, deliver);
  }

  /** Passes on the first reply, or none once the time is up. */
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

  /** Draws whether copies of the request arrive later, or are kept for the next leader. */
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
      deliverCopyLater(5);
    if (this.duplicatedHeartbeats > 0 && call.path === '/v1/report')
      if (this.random.next() < this.duplicatedHeartbeats) deliverCopyLater(2000);
    if (this.retainedHeartbeats > 0 && call.path === '/v1/report')
      if (this.random.next() < this.retainedHeartbeats)
        this.retainedRequests.push({ from, arrival: request });
  }
}
