/** A stand-in of the state service: keys, transactions, leases and watches within their limits. */
import { isFields, jsonBytes, listOf, serve, sleep, textOf } from './http.js';
import type { Fields, Reply, Request } from './http.js';

export interface StateLimits {
  rps: number;
  writeRps: number;
  valueKb: number;
  txnOps: number;
}

/** Whether one controller is refused. */
export interface Gate {
  refusing: boolean;
}

interface Entry {
  value: unknown;
  stamp: number;
  permit: number | null;
}

interface Change {
  key: string;
  stamp: number;
  /** The change as `/follow` reports it. */
  report: Fields;
}

interface Hold {
  lifeMs: number;
  endsAt: number;
}

interface Watcher {
  starts: string;
  from: number;
  answer: (reply: Reply) => void;
}

/** The service retains this many changes. */
const RETAINED_CHANGES = 10_000;
const MAX_TRANSACTION_BYTES = 64 * 1024;
const MAX_RESPONSE_BYTES = 512 * 1024;
const MAX_ITEMS = 1000;
/** Time to an answer: most take under 10 ms. */
const LATENCY_MS = 3;

/** Limits a rate, with a burst of one second's worth. */
class Rate {
  private tokens: number;
  private at = performance.now();

  constructor(private perSecond: number) {
    this.tokens = perSecond;
  }

  set(perSecond: number): void {
    this.perSecond = perSecond;
  }

  take(count: number): boolean {
    const now = performance.now();
    const refilled = this.tokens + ((now - this.at) / 1000) * this.perSecond;
    this.tokens = Math.min(this.perSecond, refilled);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

export class StateService {
  readonly entries = new Map<string, Entry>();
  /** Answers so far, by method, first path segment and status. */
  readonly counts = new Map<string, number>();
  ledger = 0;
  private changes: Change[] = [];
  /** Revision of the newest change that is no longer retained. */
  private forgottenUpTo = 0;
  private readonly holds = new Map<number, Hold>();
  private lastPermit = 0;
  private watchers = new Set<Watcher>();
  private readonly requests: Rate;
  private readonly writes: Rate;

  /** @param onRefused called for each transaction that is refused with 400 */
  constructor(
    private limits: StateLimits,
    private readonly onRefused: (text: string) => void,
  ) {
    this.requests = new Rate(limits.rps);
    this.writes = new Rate(limits.writeRps);
    setInterval(() => this.endHolds(), 20).unref();
  }

  /**
   * Starts to serve; returns the address. Through `gate` the one controller that uses this address can be refused: its
   * requests get 503, and its open watches wait.
   */
  async listen(gate: Gate = { refusing: false }): Promise<string> {
    const { address } = await serve(async (request) => {
      await sleep(LATENCY_MS);
      let reply: Reply = gate.refusing ? { status: 503 } : await this.handle(request);
      while (gate.refusing && request.path === '/follow' && reply.status === 200) await sleep(20);
      if (gate.refusing) reply = { status: 503 };
      const kind = `${request.method} ${request.path.split('/')[1] ?? ''} ${reply.status}`;
      this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
      return reply;
    });
    return address;
  }

  /** Changes the limits, without notice. */
  setLimits(limits: StateLimits): void {
    this.limits = limits;
    this.requests.set(limits.rps);
    this.writes.set(limits.writeRps);
  }

  /** Number of changes after the revision. */
  changesSince(revision: number): number {
    return this.changes.filter(({ stamp }) => stamp > revision).length;
  }

  private handle(request: Request): Reply | Promise<Reply> {
    if (!this.requests.take(1)) return { status: 429 };
    const { method, path, query, body } = request;
    const [, root = '', id = '', verb = ''] = path.split('/');
    if (root === 'keys' && method === 'GET')
      return path === '/keys' ? this.range(query) : this.read(path.slice('/keys/'.length));
    if (path === '/multi') return this.multi(request);
    if (root === 'follow') return this.follow(query);
    if (path === '/holds') return this.grant(body);
    if (root === 'holds' && method === 'DELETE') return this.release(Number(id));
    if (root === 'holds' && verb === 'extend') return this.extend(Number(id));
    return { status: 400 };
  }

  private read(key: string): Reply {
    const entry = this.entries.get(key);
    if (entry === undefined) return { status: 404, body: { ledger: this.ledger } };
    const { value, stamp, permit } = entry;
    return { status: 200, body: { k: key, value, stamp, ...(permit === null ? {} : { permit }) } };
  }

  private range(query: URLSearchParams): Reply {
    const starts = query.get('starts') ?? '';
    const from = query.get('from') ?? '';
    const limit = Math.min(MAX_ITEMS, Number(query.get('limit') ?? MAX_ITEMS));
    const keys = [...this.entries.keys()]
      .filter((key) => key.startsWith(starts) && key > from)
      .sort();
    const entries: Fields[] = [];
    let bytes = 0;
    for (const key of keys) {
      const item = {
        k: key,
        value: this.entries.get(key)?.value,
        stamp: this.entries.get(key)?.stamp,
      };
      bytes += jsonBytes(item);
      if (entries.length >= limit || bytes > MAX_RESPONSE_BYTES) break;
      entries.push(item);
    }
    const hasNext = entries.length < keys.length;
    return { status: 200, body: { entries, has_next: hasNext, ledger: this.ledger } };
  }

  private multi({ body, jsonBytes: size }: Request): Reply {
    if (!isFields(body)) return { status: 400 };
    const conditions = listOf(body['if']);
    const writes = listOf(body['writes']);
    if (!this.writes.take(writes.length)) return { status: 429 };
    const fault = this.faultOf(conditions, writes, size);
    if (fault !== null) {
      this.onRefused(fault);
      return { status: 400, body: { error: fault } };
    }
    for (const { permit } of writes)
      if (typeof permit === 'number' && !this.holds.has(permit))
        return { status: 400, body: { error: 'no such lease' } };
    const failed = conditions
      .filter(({ k, stamp }) => (this.entries.get(textOf(k))?.stamp ?? 0) !== stamp)
      .map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    if (writes.length > 0) this.apply(writes);
    return { status: 200, body: { ledger: this.ledger } };
  }

  /** Returns what is wrong with the size of a transaction, or null. */
  private faultOf(conditions: Fields[], writes: Fields[], size: number): string | null {
    const { txnOps, valueKb } = this.limits;
    if (writes.length > txnOps) return `${writes.length} writes`;
    if (conditions.length > 4 * txnOps) return `${conditions.length} conditions`;
    if (size > MAX_TRANSACTION_BYTES) return `transaction of ${size} bytes`;
    for (const { set, value } of writes)
      if (typeof set === 'string' && jsonBytes(value) > valueKb * 1024)
        return `value of ${jsonBytes(value)} bytes for ${set}`;
    return null;
  }

  private apply(writes: Fields[]): void {
    this.ledger++;
    for (const write of writes) {
      const { set, value, permit } = write;
      if (typeof set === 'string') {
        const hold = typeof permit === 'number' ? permit : null;
        this.entries.set(set, { value, stamp: this.ledger, permit: hold });
        this.addChange(set, { set, value, stamp: this.ledger });
      } else this.remove(textOf(write['delete']));
    }
    this.notify();
  }

  private remove(key: string): void {
    if (!this.entries.delete(key)) return;
    this.addChange(key, { delete: key, stamp: this.ledger });
  }

  private addChange(key: string, report: Fields): void {
    this.changes.push({ key, stamp: this.ledger, report });
    if (this.changes.length <= RETAINED_CHANGES) return;
    const dropped = this.changes.shift();
    this.forgottenUpTo = dropped?.stamp ?? 0;
  }

  private notify(): void {
    for (const watcher of this.watchers) {
      const log = this.logFor(watcher);
      if (log.length === 0) continue;
      this.watchers.delete(watcher);
      watcher.answer({ status: 200, body: { ledger: this.ledger, log } });
    }
  }

  private logFor({ starts, from }: Pick<Watcher, 'starts' | 'from'>): Fields[] {
    const log: Fields[] = [];
    for (let i = this.changes.length - 1; i >= 0; i--) {
      const change = this.changes[i];
      if (change === undefined || change.stamp <= from) break;
      if (change.key.startsWith(starts)) log.push(change.report);
    }
    return log.reverse();
  }

  private follow(query: URLSearchParams): Reply | Promise<Reply> {
    const starts = query.get('starts') ?? '';
    const from = Number(query.get('from') ?? 0);
    const holdMs = Math.min(60_000, Number(query.get('hold_ms') ?? 0));
    if (from < this.forgottenUpTo) return { status: 410 };
    const log = this.logFor({ starts, from });
    if (log.length > 0 || holdMs <= 0) return { status: 200, body: { ledger: this.ledger, log } };
    return new Promise((resolve) => {
      const watcher: Watcher = {
        starts,
        from,
        answer: (reply) => {
          clearTimeout(timer);
          resolve(reply);
        },
      };
      const timer = setTimeout(() => {
        this.watchers.delete(watcher);
        resolve({ status: 200, body: { ledger: this.ledger, log: [] } });
      }, holdMs);
      this.watchers.add(watcher);
    });
  }

  private grant(body: unknown): Reply {
    const lifeMs = isFields(body) ? Number(body['life_ms']) : NaN;
    if (!(lifeMs >= 100 && lifeMs <= 600_000)) return { status: 400 };
    const permit = ++this.lastPermit;
    this.holds.set(permit, { lifeMs, endsAt: performance.now() + lifeMs });
    return { status: 200, body: { permit } };
  }

  private extend(permit: number): Reply {
    const hold = this.holds.get(permit);
    if (hold === undefined) return { status: 404 };
    hold.endsAt = performance.now() + hold.lifeMs;
    return { status: 200, body: { permit } };
  }

  private release(permit: number): Reply {
    if (!this.holds.has(permit)) return { status: 404 };
    this.endHold(permit);
    return { status: 200, body: {} };
  }

  private endHolds(): void {
    const now = performance.now();
    for (const [permit, { endsAt }] of this.holds) if (now > endsAt) this.endHold(permit);
  }

  private endHold(permit: number): void {
    this.holds.delete(permit);
    const keys = [...this.entries].filter(([, entry]) => entry.permit === permit);
    if (keys.length === 0) return;
    this.ledger++;
    for (const [key] of keys) this.remove(key);
    this.notify();
  }
}
