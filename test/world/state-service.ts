import { Tokens } from '../../src/controller/core/tokens.js';
import type { StateLimits } from '../../src/controller/settings/platform.js';
import type { Arrival, Network, Respond, Sim } from './sim.js';

interface Entry {
  value: unknown;
  stamp: number;
  permit: number | null;
}

interface Change {
  stamp: number;
  key: string;
  value: unknown;
  deleted: boolean;
}

interface Watch {
  by: string;
  prefix: string;
  from: number;
  respond: Respond;
  open: boolean;
}

interface Multi {
  if?: { k: string; stamp: number }[];
  writes?: { set?: string; delete?: string; value?: unknown; permit?: number }[];
}

/** Stand-in for the state service, after PROTOCOL. */
export class StateService {
  readonly entries = new Map<string, Entry>();
  private readonly leases = new Map<number, { life: number; ends: number }>();
  private log: Change[] = [];
  private watches: Watch[] = [];
  private ledger = 0;
  private permits = 0;
  private down = false;
  private slowUntil = 0;
  private readonly refused = new Set<string>();
  private readonly requestTokens: Tokens;
  private readonly putTokens: Tokens;
  /** Transactions refused for their size; copies that the network made of older ones aside. */
  tooLarge = 0;
  /** Requests, puts and deletes served, and requests refused for being too many. */
  requests = 0;
  puts = 0;
  tooMany = 0;
  /** Requests that came in an outage. */
  missed = 0;
  /** Share of the transactions that get no answer and are carried out later, and how many were. */
  lateWrites = 0;
  late = { applied: 0, refused: 0 };
  /** Transactions are carried out late by at most this, and by a sixth of it at least. */
  latestMs = 12_000;
  /** Share of the transactions that are carried out at once and whose answer alone is lost. */
  private lostAnswers = 0;
  /** Keys that such a transaction wrote, with the node that got no answer. */
  private readonly unanswered = new Map<string, string>();
  /** How often another node has read what a node without an answer wrote. */
  readUnanswered = 0;
  /** Nodes whose watches are refused, and nothing else of theirs. */
  private readonly unwatched = new Set<string>();
  /** Told of each transaction as it arrives, before it is looked at: its writes' keys. */
  arriving: (keys: readonly string[]) => void = () => undefined;

  constructor(
    private readonly sim: Sim,
    net: Network,
    addr: string,
    private limits: StateLimits,
    private readonly pageSize: number,
  ) {
    const now = (): number => sim.now;
    this.requestTokens = new Tokens(now, limits.rps, limits.rps);
    this.putTokens = new Tokens(now, limits.writeRps, limits.writeRps);
    net.listen(addr, 'state', (from, request, respond) => this.serve(from, request, respond));
    this.expire();
  }

  /** Whether it answers nobody just now. */
  get inOutage(): boolean {
    return this.down;
  }

  outage(ms: number): void {
    this.down = true;
    this.sim.after(ms, () => {
      this.down = false;
      for (const l of this.leases.values()) l.ends = this.sim.now + l.life;
    });
  }

  /** Answers come late for a time, now and then by seconds. */
  slow(ms: number): void {
    this.slowUntil = Math.max(this.slowUntil, this.sim.now + ms);
  }

  /** One node alone gets 503, and its leases run out. */
  refuse(host: string, ms: number): void {
    this.refused.add(host);
    this.sim.after(ms, () => this.refused.delete(host));
  }

  /** From now on it takes less. What is stored stays. */
  lower(limits: StateLimits): void {
    this.limits = limits;
    this.requestTokens.setRate(limits.rps, limits.rps);
    this.putTokens.setRate(limits.writeRps, limits.writeRps);
  }

  /** One node's watches alone get 503. */
  refuseWatches(host: string, ms: number): void {
    this.unwatched.add(host);
    this.sim.after(ms, () => this.unwatched.delete(host));
  }

  /** Some transactions get no answer and are carried out 2 to 12 s later, after newer ones. */
  delayWrites(share: number, ms: number): void {
    this.lateWrites = share;
    this.sim.after(ms, () => {
      this.lateWrites = 0;
    });
  }

  /** Some transactions are carried out at once, and only their answers are lost. */
  loseAnswers(share: number, ms: number): void {
    this.lostAnswers = share;
    this.sim.after(ms, () => {
      this.lostAnswers = 0;
    });
  }

  /** Whether this node alone is refused. */
  refuses(host: string): boolean {
    return !this.down && this.refused.has(host);
  }

  private writtenUnanswered(from: string, m: Multi): void {
    for (const w of m.writes ?? []) if (w.set !== undefined) this.unanswered.set(w.set, from);
  }

  private wasRead(by: string, key: string): void {
    const writer = this.unanswered.get(key);
    if (writer !== undefined && writer !== by) this.readUnanswered++;
  }

  private later(m: Multi): void {
    if (this.down) return;
    if (this.multi(m).status === 200) this.late.applied++;
    else this.late.refused++;
  }

  private expire(): void {
    this.sim.after(50, () => this.expire());
    if (this.down) return;
    for (const [id, l] of this.leases) if (this.sim.now > l.ends) this.end(id);
  }

  private end(id: number): void {
    this.leases.delete(id);
    const keys = [...this.entries].filter(([, e]) => e.permit === id).map(([k]) => k);
    if (keys.length === 0) return;
    this.ledger++;
    for (const k of keys) this.change(k, undefined, null, true);
    this.notify();
  }

  private change(key: string, value: unknown, permit: number | null, deleted: boolean): void {
    if (deleted) this.entries.delete(key);
    else this.entries.set(key, { value, stamp: this.ledger, permit });
    this.log.push({ stamp: this.ledger, key, value, deleted });
    if (this.log.length > 20_000) this.log = this.log.slice(-10_000);
  }

  private notify(): void {
    for (const w of this.watches) this.tryWatch(w);
    this.watches = this.watches.filter((w) => w.open);
  }

  private tryWatch(w: Watch): void {
    if (!w.open) return;
    // Newest last: only what came after `from` is looked at.
    let first = this.log.length;
    while (first > 0 && (this.log[first - 1]?.stamp ?? 0) > w.from) first--;
    const found = this.log.slice(first).filter((c) => c.key.startsWith(w.prefix));
    if (found.length === 0) return;
    for (const c of found) this.wasRead(w.by, c.key);
    w.open = false;
    w.respond({
      status: 200,
      body: {
        ledger: this.ledger,
        log: found.map((c) =>
          c.deleted
            ? { delete: c.key, stamp: c.stamp }
            : { set: c.key, value: c.value, stamp: c.stamp },
        ),
      },
    });
  }

  private serve(from: string, call: Arrival, answer: Respond): void {
    const slow = this.sim.now < this.slowUntil && this.sim.random() < 0.3;
    const lateMs = slow ? this.sim.between(50, 2000) : 0;
    const respond: Respond = slow ? (r) => this.sim.after(lateMs, () => answer(r)) : answer;
    if (this.down) this.missed++;
    if (this.down || this.refused.has(from)) return respond({ status: 503, body: null });
    const multi = call.path === '/multi' ? (call.body() as Multi) : null;
    const puts = multi?.writes?.length ?? 0;
    if (multi !== null) this.arriving((multi.writes ?? []).map((w) => w.set ?? w.delete ?? ''));
    if (!this.requestTokens.take() || (puts > 0 && !this.putTokens.take(puts))) {
      this.tooMany++;
      return respond({ status: 429, body: null });
    }
    this.requests++;
    this.puts += puts;
    const url = new URL(call.path, 'http://state');
    const path = url.pathname;
    if (multi !== null && this.lateWrites > 0 && this.sim.random() < this.lateWrites) {
      this.sim.after(this.sim.between(this.latestMs / 6, this.latestMs), () => this.later(multi));
      return;
    }
    if (multi !== null && this.lostAnswers > 0 && this.sim.random() < this.lostAnswers) {
      if (this.multi(multi).status === 200) this.writtenUnanswered(from, multi);
      return;
    }
    if (multi !== null) {
      for (const c of multi.if ?? []) this.wasRead(from, c.k);
      return respond(this.multi(multi, call.copy));
    }
    if (path === '/holds') {
      const id = ++this.permits;
      const life = (call.body() as { life_ms: number }).life_ms;
      this.leases.set(id, { life, ends: this.sim.now + life });
      return respond({ status: 200, body: { permit: id } });
    }
    const hold = /^\/holds\/(\d+)(\/extend)?$/.exec(path);
    if (hold !== null) {
      const id = Number(hold[1]);
      const lease = this.leases.get(id);
      if (lease === undefined) return respond({ status: 404, body: null });
      if (call.method === 'DELETE') this.end(id);
      else lease.ends = this.sim.now + lease.life;
      return respond({ status: 200, body: { permit: id } });
    }
    if (path === '/follow') {
      if (this.unwatched.has(from)) return respond({ status: 503, body: null });
      const oldest = this.log[0]?.stamp ?? 0;
      if (Number(url.searchParams.get('from')) < oldest - 1)
        return respond({ status: 410, body: null });
      const w: Watch = {
        by: from,
        prefix: url.searchParams.get('starts') ?? '',
        from: Number(url.searchParams.get('from')),
        respond,
        open: true,
      };
      this.watches.push(w);
      this.tryWatch(w);
      this.sim.after(Number(url.searchParams.get('hold_ms')), () => {
        if (!w.open || this.down) return;
        w.open = false;
        respond({ status: 200, body: { ledger: this.ledger, log: [] } });
      });
      return;
    }
    if (path === '/keys') return respond(this.range(url));
    const key = path.slice('/keys/'.length);
    this.wasRead(from, key);
    const e = this.entries.get(key);
    if (e === undefined) return respond({ status: 404, body: { ledger: this.ledger } });
    respond({ status: 200, body: { k: key, value: e.value, stamp: e.stamp } });
  }

  private range(url: URL): { status: number; body: unknown } {
    const prefix = url.searchParams.get('starts') ?? '';
    const after = url.searchParams.get('from') ?? '';
    const limit = Number(url.searchParams.get('limit'));
    const all = [...this.entries.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const page = all.slice(0, Math.min(limit, this.pageSize));
    return {
      status: 200,
      body: {
        entries: page.map((k) => ({
          k,
          value: this.entries.get(k)?.value,
          stamp: this.entries.get(k)?.stamp,
        })),
        has_next: all.length > page.length,
        ledger: this.ledger,
      },
    };
  }

  private multi(m: Multi, copy = false): { status: number; body: unknown } {
    const writes = m.writes ?? [];
    const size = writes.some(
      (w) => JSON.stringify(w.value ?? null).length > this.limits.valueKb * 1024,
    );
    if (
      writes.length > this.limits.txnOps ||
      (m.if ?? []).length > 4 * this.limits.txnOps ||
      size
    ) {
      if (!copy) this.tooLarge++;
      return { status: 400, body: { error: 'limits' } };
    }
    for (const w of writes)
      if (w.permit !== undefined && !this.leases.has(w.permit))
        return { status: 400, body: { error: 'no such lease' } };
    const failed = (m.if ?? [])
      .filter((c) => (this.entries.get(c.k)?.stamp ?? 0) !== c.stamp)
      .map((c) => c.k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    if (writes.length > 0) this.ledger++;
    for (const w of writes) {
      if (w.set !== undefined) this.change(w.set, w.value, w.permit ?? null, false);
      else if (w.delete !== undefined && this.entries.has(w.delete))
        this.change(w.delete, undefined, null, true);
    }
    if (writes.length > 0) this.notify();
    return { status: 200, body: { ledger: this.ledger } };
  }
}
