/** State service as PROTOCOL describes it: keys, transactions, holds and watches, with its limits. */
import { EMPTY, listen, type Fields, type Reply, type Request } from './cbor-http.js';

/** Limits of the state service; they may be changed while it runs. */
export interface StateLimits {
  rps: number;
  writeRps: number;
  valueKb: number;
  txnOps: number;
}

interface Entry {
  value: unknown;
  stamp: number;
  permit: number | null;
}

interface Change {
  stamp: number;
  key: string;
  entry: Fields;
}

interface Watch {
  prefix: string;
  from: number;
  resolve: (reply: Reply) => void;
}

interface Write {
  set?: string;
  delete?: string;
  value?: unknown;
  permit?: number;
}

const LOG_LENGTH = 10_000;
const PAGE_ITEMS = 1000;
const PAGE_BYTES = 512 * 1024;
const TRANSACTION_BYTES = 64 * 1024;
const MAX_HOLD_MS = 60_000;

/** Size in the unit of the limits: bytes of the JSON form. */
function sizeOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value ?? null));
}

class Bucket {
  private tokens: number;
  private filledAt = performance.now();
  constructor(public ratePerS: number) {
    this.tokens = ratePerS;
  }
  take(count: number): boolean {
    const now = performance.now();
    this.tokens = Math.min(
      this.ratePerS,
      this.tokens + ((now - this.filledAt) / 1000) * this.ratePerS,
    );
    this.filledAt = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

export class StateService {
  readonly entries = new Map<string, Entry>();
  /** Transactions that were answered with 400 because a value or the transaction was too large. */
  readonly refusedAsTooLarge: { keys: string[]; largest: number }[] = [];
  address = '';
  /** While true, every request gets 503 and open watches wait. */
  outage = false;
  private readonly holds = new Map<number, { lifeMs: number; endsAt: number }>();
  private log: Change[] = [];
  private watches: Watch[] = [];
  private lastPermit = 0;
  private readonly requests: Bucket;
  private readonly writes: Bucket;

  /** @param ledger - number of changes that the service has counted before this deployment began */
  constructor(
    private limits: StateLimits,
    private ledger = 0,
  ) {
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.writeRps);
    setInterval(() => this.endHolds(), 20);
  }

  async start(): Promise<void> {
    this.address = await listen((request) => this.serve(request));
  }

  /** Number of changes that the service has counted. */
  get changes(): number {
    return this.ledger;
  }

  setLimits(limits: StateLimits): void {
    this.limits = limits;
    this.requests.ratePerS = limits.rps;
    this.writes.ratePerS = limits.writeRps;
  }

  private serve(request: Request): Reply | Promise<Reply> {
    if (this.outage) return { status: 503, body: EMPTY };
    if (!this.requests.take(1)) return { status: 429, body: EMPTY };
    const { method, path, query } = request;
    if (path === '/multi') return this.transact(request.body);
    if (path === '/keys') return this.range(query);
    if (path.startsWith('/keys/')) return this.read(path.slice('/keys/'.length));
    if (path === '/follow') return this.follow(query);
    if (path === '/holds') return this.grant(Number(request.body['life_ms']));
    const hold = /^\/holds\/(\d+)(\/extend)?$/.exec(path);
    if (hold === null) return { status: 400, body: EMPTY };
    return method === 'DELETE' ? this.endHold(Number(hold[1])) : this.extend(Number(hold[1]));
  }

  private read(key: string): Reply {
    const entry = this.entries.get(key);
    if (entry === undefined) return { status: 404, body: { ledger: this.ledger } };
    const { value, stamp, permit } = entry;
    return { status: 200, body: { k: key, value, stamp, ...(permit === null ? {} : { permit }) } };
  }

  private range(query: URLSearchParams): Reply {
    const prefix = query.get('starts') ?? '';
    const from = query.get('from') ?? '';
    const limit = Math.min(PAGE_ITEMS, Number(query.get('limit') ?? PAGE_ITEMS));
    const keys = [...this.entries.keys()]
      .filter((key) => key.startsWith(prefix) && key > from)
      .sort();
    const entries: Fields[] = [];
    let bytes = 0;
    for (const key of keys) {
      const item = this.read(key).body;
      bytes += sizeOf(item);
      if (entries.length > 0 && (entries.length >= limit || bytes > PAGE_BYTES)) break;
      entries.push(item);
    }
    const body = { entries, has_next: entries.length < keys.length, ledger: this.ledger };
    return { status: 200, body };
  }

  private transact(body: Fields): Reply {
    const conditions = (body['if'] ?? []) as { k: string; stamp: number }[];
    const writes = (body['writes'] ?? []) as Write[];
    if (!this.writes.take(writes.length)) return { status: 429, body: EMPTY };
    const { txnOps, valueKb } = this.limits;
    const largest = Math.max(0, ...writes.map(({ value }) => sizeOf(value)));
    if (
      writes.length > txnOps ||
      conditions.length > 4 * txnOps ||
      largest > valueKb * 1024 ||
      sizeOf(body) > TRANSACTION_BYTES
    ) {
      const keys = writes.map((write) => write.set ?? write.delete ?? '');
      this.refusedAsTooLarge.push({ keys, largest });
      return { status: 400, body: { error: 'too large' } };
    }
    if (writes.some(({ permit }) => permit !== undefined && !this.holds.has(permit)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = conditions
      .filter(({ k, stamp }) => (this.entries.get(k)?.stamp ?? 0) !== stamp)
      .map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    if (writes.length > 0) this.apply(writes);
    return { status: 200, body: { ledger: this.ledger } };
  }

  private apply(writes: readonly Write[]): void {
    this.ledger++;
    for (const write of writes) {
      if (write.set !== undefined) {
        const { set: key, value, permit = null } = write;
        this.entries.set(key, { value, stamp: this.ledger, permit });
        this.record(key, { set: key, value, stamp: this.ledger });
      } else if (write.delete !== undefined && this.entries.delete(write.delete))
        this.record(write.delete, { delete: write.delete, stamp: this.ledger });
    }
    this.notify();
  }

  private record(key: string, entry: Fields): void {
    this.log.push({ stamp: this.ledger, key, entry });
    if (this.log.length > 2 * LOG_LENGTH) this.log = this.log.slice(-LOG_LENGTH);
  }

  private grant(lifeMs: number): Reply {
    const permit = ++this.lastPermit;
    this.holds.set(permit, { lifeMs, endsAt: performance.now() + lifeMs });
    return { status: 200, body: { permit } };
  }

  private extend(permit: number): Reply {
    const hold = this.holds.get(permit);
    if (hold === undefined) return { status: 404, body: EMPTY };
    hold.endsAt = performance.now() + hold.lifeMs;
    return { status: 200, body: EMPTY };
  }

  private endHold(permit: number): Reply {
    if (!this.holds.delete(permit)) return { status: 404, body: EMPTY };
    const keys = [...this.entries].filter(([, entry]) => entry.permit === permit);
    if (keys.length > 0) this.apply(keys.map(([key]) => ({ delete: key })));
    return { status: 200, body: EMPTY };
  }

  private endHolds(): void {
    const now = performance.now();
    if (this.outage) for (const hold of this.holds.values()) hold.endsAt = now + hold.lifeMs;
    for (const [permit, { endsAt }] of this.holds) if (now > endsAt) this.endHold(permit);
  }

  private changesFor({ prefix, from }: Watch): Fields[] {
    return this.log
      .filter(({ stamp, key }) => stamp > from && key.startsWith(prefix))
      .map(({ entry }) => entry);
  }

  private follow(query: URLSearchParams): Reply | Promise<Reply> {
    const prefix = query.get('starts') ?? '';
    const from = Number(query.get('from'));
    const holdMs = Number(query.get('hold_ms') ?? 0);
    if (holdMs > MAX_HOLD_MS) return { status: 400, body: EMPTY };
    const oldest = this.log[0]?.stamp ?? 0;
    if (this.log.length >= LOG_LENGTH && from < oldest - 1) return { status: 410, body: EMPTY };
    return new Promise((resolve) => {
      const watch = { prefix, from, resolve };
      this.watches.push(watch);
      this.notify();
      setTimeout(() => this.closeWatch(watch), holdMs);
    });
  }

  private closeWatch(watch: Watch): void {
    if (!this.watches.includes(watch)) return;
    if (this.outage) setTimeout(() => this.closeWatch(watch), 20);
    else {
      this.watches = this.watches.filter((other) => other !== watch);
      watch.resolve({ status: 200, body: { ledger: this.ledger, log: [] } });
    }
  }

  private notify(): void {
    this.watches = this.watches.filter((watch) => {
      const log = this.changesFor(watch);
      if (log.length === 0) return true;
      watch.resolve({ status: 200, body: { ledger: this.ledger, log } });
      return false;
    });
  }
}
