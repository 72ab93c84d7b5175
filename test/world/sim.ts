import type { Call, Env, Reply, Timer } from '../../src/controller/core/env.js';
import { uniform } from '../../src/controller/core/random.js';
import { decodeBody, encodeBody } from '../../src/controller/wire/cbor.js';

interface Event {
  at: number;
  order: number;
  run: () => void;
  cancelled: boolean;
}

const doNothing = (): void => undefined;

/** Virtual time: events in order of time, then of scheduling. Milliseconds. */
export class Sim {
  now = 0;
  private order = 0;
  private readonly heap: Event[] = [];
  readonly random: () => number;

  constructor(seed: number) {
    this.random = uniform(seed);
  }

  after(ms: number, run: () => void): Timer {
    const e: Event = { at: this.now + Math.max(0, ms), order: this.order++, run, cancelled: false };
    this.push(e);
    return {
      cancel: () => {
        e.cancelled = true;
        // What the event refers to may go at once, though its entry stays until its time.
        e.run = doNothing;
      },
    };
  }

  between(from: number, to: number): number {
    return from + (to - from) * this.random();
  }

  pick<T>(list: readonly T[]): T {
    const x = list[Math.floor(this.random() * list.length)];
    if (x === undefined) throw new Error('nothing to pick from');
    return x;
  }

  /** Runs all events up to `until`; `check` after each of them. */
  run(until: number, check: () => void): void {
    for (;;) {
      const first = this.heap[0];
      if (first === undefined || first.at > until) break;
      this.pop();
      if (first.cancelled) continue;
      this.now = first.at;
      first.run();
      check();
    }
    this.now = until;
  }

  private less(a: Event, b: Event): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private push(e: Event): void {
    const h = this.heap;
    let i = h.push(e) - 1;
    while (i > 0) {
      const up = (i - 1) >> 1;
      const p = h[up];
      if (p === undefined || !this.less(e, p)) break;
      h[i] = p;
      i = up;
    }
    h[i] = e;
  }

  private pop(): void {
    const h = this.heap;
    const last = h.pop();
    if (last === undefined || h.length === 0) return;
    let i = 0;
    for (;;) {
      let c = 2 * i + 1;
      const left = h[c];
      const right = h[c + 1];
      if (left === undefined) break;
      let child = left;
      if (right !== undefined && this.less(right, left)) {
        child = right;
        c++;
      }
      if (!this.less(child, last)) break;
      h[i] = child;
      i = c;
    }
    h[i] = last;
  }
}

export type Respond = (reply: Reply) => void;

/** A request as it arrives. */
export interface Arrival {
  method: string;
  path: string;
  bytes: Buffer;
  /** The network delivers it once more, much later than it was sent. */
  copy: boolean;
  /** What the bytes say; undefined if there are none. */
  body(): unknown;
}

export type Service = (from: string, request: Arrival, respond: Respond) => void;

type Cut = 'hold' | 'reset';

const NO_BYTES = Buffer.alloc(0);

/** Delays, cuts, late and doubled messages between named hosts. */
export class Network {
  private readonly services = new Map<string, { host: string; serve: Service }>();
  private readonly cuts = new Map<string, Cut>();
  private held: { from: string; to: string; run: () => void }[] = [];
  /** Chance that a request arrives a second time, much later. */
  doubled = 0;
  /** How late such a copy may be. */
  latestMs = 40_000;
  /** Share of the workers' reports of which a copy arrives again, and how many have. */
  copiedReports = 0;
  copies = 0;
  /** Share of the direct commands that are held up on their way, and how many arrived late. */
  lateCommands = 0;
  commandsLate = 0;
  /** Share of the workers' reports of which a copy is kept for the next leader. */
  keptReports = 0;
  private kept: { from: string; arrival: Arrival }[] = [];
  /** Messages take up to this long; milliseconds. */
  latencyMs = 2;

  constructor(private readonly sim: Sim) {}

  listen(addr: string, host: string, serve: Service): void {
    this.services.set(addr, { host, serve });
  }

  remove(addr: string): void {
    this.services.delete(addr);
  }

  cut(a: string, b: string, mode: Cut): void {
    this.cutWay(a, b, mode);
    this.cutWay(b, a, mode);
  }

  /** Nothing goes from one to the other; the other way is open. */
  cutWay(from: string, to: string, mode: Cut): void {
    this.cuts.set(`${from} ${to}`, mode);
  }

  heal(a: string, b: string): void {
    this.cuts.delete(`${a} ${b}`);
    this.cuts.delete(`${b} ${a}`);
    if (this.held.length === 0) return;
    const free = this.held.filter((h) => !this.cuts.has(`${h.from} ${h.to}`));
    this.held = this.held.filter((h) => this.cuts.has(`${h.from} ${h.to}`));
    for (const h of free) this.sim.after(this.sim.between(0.2, 3), h.run);
  }

  private cutOf(from: string, to: string): Cut | undefined {
    return this.cuts.size === 0 ? undefined : this.cuts.get(`${from} ${to}`);
  }

  /** Delivers, holds back or loses. `lost` is called if the sender would notice. */
  send(from: string, to: string, run: () => void, lost: () => void): void {
    const cut = this.cutOf(from, to);
    if (cut === 'reset') this.sim.after(1, lost);
    else if (cut === 'hold') this.held.push({ from, to, run });
    else {
      this.sim.after(this.sim.between(0.2, this.latencyMs), () => {
        // A cut may have come while the message was under way.
        const now = this.cutOf(from, to);
        if (now === undefined) run();
        else if (now === 'hold') this.held.push({ from, to, run });
        else lost();
      });
    }
  }

  /** The copies kept so far arrive at all the addresses given, within a moment after the time given. */
  deliverKept(addresses: readonly string[], afterMs: number): void {
    const { kept } = this;
    this.kept = [];
    for (const { from, arrival } of kept)
      for (const address of addresses)
        this.sim.after(afterMs + this.sim.between(0, 50), () => {
          const service = this.services.get(address);
          if (service === undefined) return;
          this.copies++;
          service.serve(from, arrival, () => undefined);
        });
  }

  /** Whether the command is held up; it then arrives once, 2 to 16 s late, and is not answered. */
  private holdsUp(call: Call, deliver: (respond: Respond) => void): boolean {
    if (call.path !== '/do' || this.lateCommands === 0) return false;
    if (this.sim.random() >= this.lateCommands) return false;
    this.sim.after(this.sim.between(2000, 16_000), () => {
      this.commandsLate++;
      deliver(() => undefined);
    });
    return true;
  }

  call(from: string, call: Call, alive: () => boolean, done: (r: Reply) => void): void {
    let settled = false;
    const finish = (r: Reply): void => {
      if (settled) return;
      settled = true;
      timer.cancel();
      if (alive()) done(r);
    };
    const none: Reply = { status: 0, body: null };
    const timer = this.sim.after(call.timeoutMs, () => finish(none));
    const target = this.services.get(call.to);
    if (target === undefined) {
      this.sim.after(1, () => finish(none));
      return;
    }
    const bytes = call.body === undefined ? NO_BYTES : encodeBody(call.body);
    const arrival: Arrival = {
      ...{ method: call.method, path: call.path, bytes, copy: false },
      body: () => (bytes.length === 0 ? undefined : decodeBody(bytes)),
    };
    const deliver = (request: Arrival, respond: Respond): void => {
      const service = this.services.get(call.to);
      if (service === undefined) respond(none);
      else service.serve(from, request, respond);
    };
    const back = (r: Reply): void => {
      const body = r.body === null ? null : decodeBody(encodeBody(r.body));
      this.send(
        target.host,
        from,
        () => finish({ status: r.status, body }),
        () => finish(none),
      );
    };
    if (this.holdsUp(call, (respond) => deliver(arrival, respond))) return;
    this.send(
      from,
      target.host,
      () => deliver(arrival, back),
      () => finish(none),
    );
    const copy = (fromMs: number): void => {
      this.sim.after(this.sim.between(fromMs, this.latestMs), () => {
        this.copies++;
        deliver({ ...arrival, copy: true }, () => undefined);
      });
    };
    if (call.method === 'POST' && this.doubled > 0 && this.sim.random() < this.doubled) copy(5);
    if (this.copiedReports > 0 && call.path === '/v1/report')
      if (this.sim.random() < this.copiedReports) copy(2000);
    if (this.keptReports > 0 && call.path === '/v1/report')
      if (this.sim.random() < this.keptReports) this.kept.push({ from, arrival });
  }
}

/** A controller process's world; everything stops when the process is killed. */
export class ProcessEnv implements Env {
  alive = true;
  /** Stands still until then, while its clocks run on; what comes meanwhile is taken afterwards. */
  private frozenUntil = 0;
  private readonly drift: number;
  private readonly offset: number;

  constructor(
    private readonly sim: Sim,
    private readonly net: Network,
    private readonly host: string,
    private readonly peers: Map<string, (bytes: Buffer) => void>,
  ) {
    this.drift = 1 + sim.between(0, 0.0005);
    this.offset = sim.between(0, 1e6);
  }

  now(): number {
    return this.offset + this.sim.now * this.drift;
  }

  wall(): number {
    return 1.7e12 + this.sim.now;
  }

  random(): number {
    return this.sim.random();
  }

  soon(fn: () => void): void {
    this.timer(0, fn);
  }

  timer(ms: number, fn: () => void): Timer {
    return this.sim.after(ms / this.drift, () => this.whenAwake(fn));
  }

  freeze(ms: number): void {
    this.frozenUntil = Math.max(this.frozenUntil, this.sim.now + ms);
  }

  whenAwake(fn: () => void): void {
    if (!this.alive) return;
    if (this.sim.now >= this.frozenUntil) fn();
    else this.sim.after(this.frozenUntil - this.sim.now, () => this.whenAwake(fn));
  }

  call(call: Call, done: (reply: Reply) => void): void {
    if (!this.alive) return;
    const later = (r: Reply): void => this.whenAwake(() => done(r));
    this.net.call(this.host, call, () => this.alive, later);
  }

  /** Now and then sockets are short. */
  mayCall(): boolean {
    return this.sim.random() < 0.95;
  }

  sendPeer(host: string, frame: Buffer): void {
    if (!this.alive) return;
    this.net.send(
      this.host,
      host,
      () => this.peers.get(host)?.(frame),
      () => undefined,
    );
  }
}
