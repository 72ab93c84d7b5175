import type { Core } from '../core/core.js';
import type { Settings } from '../settings/settings.js';
import type { Condition, Item, Write } from '../wire/state.js';
import { reserve, type StateClient } from './client.js';
import { Pages, sizeOf, type Entry, type Page } from './pages.js';

interface Extra {
  conditions: Condition[];
  writes: Write[];
  done: (r: 'ok' | 'conflict') => void;
}

/**
 * `lazy` may wait to be written together with others, `urgent` goes out as soon as there are tokens,
 * and `first` before all that.
 */
export type Urgency = 'lazy' | 'urgent' | 'first';

export interface RecordsOptions {
  /** Key and version that every transaction is conditional on: the leader's own. */
  fence: Condition;
  mayWrite: () => boolean;
  onFenced: () => void;
}

/** Bytes of a transaction, with room for its frame below the service's 64 KiB. */
const TXN_BYTES = 56 * 1024;

/** For this share of a worker's lease, lazy entries leave the puts to urgent ones. */
const LAZY_WAIT = 0.25;

/**
 * Share of the leader's puts that pages take while something urgent is always waiting; the rest is
 * for jobs' ends, so that neither starves the other.
 */
const PAGES_SHARE = 0.45;

/**
 * The leader's records at the state service. Callers set the newest value of a key and are called
 * back once it, or a newer one, is stored. Records are packed into pages (pages.ts). One transaction
 * is in flight at a time.
 *
 * Every write is conditional on the leader's key and on the version of the page that it replaces.
 * So a copy that the network delivers late finds either another leader or a newer version, and
 * cannot put an old list of assignments over a newer one.
 */
export class Records {
  private readonly pages: Pages;
  private readonly extras: Extra[] = [];
  private readonly urgent = new Set<Entry>();
  /** Of the urgent ones, those that go before the others. */
  private readonly first = new Set<Entry>();
  private readonly lazy = new Set<Entry>();
  private readonly waiters = new Map<Entry, (() => void)[]>();
  private inFlight = false;
  private closed = false;
  private timerAt = Infinity;
  private pauseUntil = 0;
  private lazyAt = 0;
  /** When lazy entries last had pages of their own. */
  private lazyPagesAt = 0;
  private pagesAt = 0;
  /** Puts and deletes sent, for the operators' figures. */
  writes = 0;

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    private readonly client: StateClient,
    private readonly options: RecordsOptions,
  ) {
    this.pages = new Pages(() => client.limits.valueBytes);
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    for (const e of this.extras) this.client.queued -= e.writes.length;
  }

  /** What the leaders before have left. */
  load(items: Item[]): void {
    this.pages.load(items);
  }

  /** Keys and values under a prefix, as they were loaded or set. */
  *list(prefix: string): Iterable<{ key: string; value: unknown }> {
    for (const e of [...this.pages.entries.values()])
      if (e.text !== null && e.key.startsWith(prefix))
        yield { key: e.key, value: JSON.parse(e.text) as unknown };
  }

  has(key: string): boolean {
    return this.pages.entries.get(key)?.text != null;
  }

  /** `undefined` deletes. */
  set(key: string, value: unknown, urgency: Urgency, stored?: () => void): void {
    const e = this.pages.set(key, value);
    if (e === null || (!e.dirty && !e.inFlight)) return stored?.();
    if (stored !== undefined) {
      const list = this.waiters.get(e);
      if (list === undefined) this.waiters.set(e, [stored]);
      else list.push(stored);
    }
    if (!e.dirty) return;
    if (urgency === 'first') this.first.add(e);
    if (urgency === 'lazy') {
      if (!this.urgent.has(e)) this.lazy.add(e);
    } else {
      this.urgent.add(e);
      this.lazy.delete(e);
    }
  }

  /** Writes on keys that others write too, all or none, under the leader's fence. */
  transact(conditions: Condition[], writes: Write[], done: Extra['done']): void {
    this.extras.push({ conditions, writes, done });
    this.client.queued += writes.length;
  }

  get backlog(): number {
    return this.urgent.size + this.lazy.size + this.extras.length;
  }

  /** Least time between two commits of pages that keeps within their share of the puts. */
  private get pagesEveryMs(): number {
    return 1000 / (this.client.writeTokens.perSecond * PAGES_SHARE);
  }

  flush(): void {
    if (this.closed || this.inFlight || this.backlog === 0) return;
    const now = this.core.now();
    if (!this.options.mayWrite()) return this.later(50);
    if (now < this.pauseUntil) return this.later(this.pauseUntil - now);
    const lazyDue = this.lazy.size > 0 && now >= this.lazyAt;
    const pagesDue = now >= this.pagesAt && (this.urgent.size > 0 || lazyDue);
    if (!pagesDue && this.extras.length === 0) {
      const next = this.urgent.size > 0 ? this.pagesAt : Math.max(this.pagesAt, this.lazyAt);
      return this.later(next - now);
    }
    const wait = Math.max(
      this.client.tokens.waitMs(1, reserve.records),
      this.client.writeTokens.waitMs(1, reserve.records),
    );
    if (wait > 0) return this.later(wait);
    for (const p of this.pages.pages.values()) if (p.unsure) return this.reread(p);
    this.commit(pagesDue, lazyDue);
  }

  private commit(pagesDue: boolean, lazyDue: boolean): void {
    const { txnOps } = this.client.limits.inForce;
    const now = this.core.now();
    const conditions: Condition[] = [this.options.fence];
    const pages = new Set<Page>();
    const taken = new Set<Entry>();
    let ops = 0;
    let bytes = 512;
    const room = (w: number, c: number, size: number): boolean =>
      ops + w <= txnOps &&
      conditions.length + c <= 4 * txnOps &&
      bytes + size <= TXN_BYTES &&
      this.client.writeTokens.waitMs(w, reserve.records) === 0;
    // False: no room is left for it in this transaction.
    const add = (e: Entry, newPages: boolean): boolean => {
      if (!this.pages.writable(e)) {
        this.holdBack(e);
        return true;
      }
      const target = this.pages.target(e);
      const grows = e.page === target ? 0 : e.bytes;
      if (pages.has(target)) {
        if (bytes + grows > TXN_BYTES) return false;
      } else {
        if (!newPages || !room(1, 1, target.bytes + grows)) return false;
        pages.add(target);
        ops++;
        bytes += target.bytes;
        conditions.push({ key: target.key, version: target.version });
        this.client.writeTokens.force(1);
      }
      bytes += grows;
      this.pages.move(e, target);
      taken.add(e);
      return true;
    };
    if (pagesDue) {
      this.pagesAt = now + this.pagesEveryMs;
      for (const e of this.first) if (!add(e, true)) break;
      for (const e of this.urgent) if (!taken.has(e) && !add(e, true)) break;
    }
    const extras = this.takeExtras(room, (e, size) => {
      ops += e.writes.length;
      bytes += size;
      conditions.push(...e.conditions);
    });
    if (pagesDue) {
      if (lazyDue) this.lazyAt = now + this.settings.get('placement.hold.record.s') * 1000;
      // Where puts are short, what is lazy goes along on pages that go out anyway, and has pages of
      // its own only when nothing urgent is left or it has waited for long.
      const calm = ![...this.urgent].some((e) => !taken.has(e));
      const waited = now - this.lazyPagesAt > this.settings.workerLeaseMs * LAZY_WAIT;
      const own = lazyDue && (calm || waited);
      if (own) this.lazyPagesAt = now;
      for (const e of this.lazy) if (!add(e, own)) break;
    }
    if (ops === 0) return this.later(10);
    // A page goes out with the newest values of all its entries.
    for (const p of pages) for (const e of p.entries) if (e.dirty) taken.add(e);
    this.send(conditions, [...pages], [...taken], extras);
  }

  /**
   * Larger than the service takes: of a leader before, under other limits. What is stored is left as
   * it is, an upper bound of what runs, until a value is set that fits.
   */
  private holdBack(e: Entry): void {
    this.urgent.delete(e);
    this.first.delete(e);
    this.lazy.delete(e);
    this.core.log.warn({ key: e.key, bytes: e.bytes }, 'record too large to be written');
  }

  /** Ends of jobs, as many as there is room for: their users are waiting. */
  private takeExtras(
    room: (writes: number, conditions: number, size: number) => boolean,
    take: (e: Extra, size: number) => void,
  ): Extra[] {
    const extras: Extra[] = [];
    for (;;) {
      const e = this.extras[0];
      if (e === undefined) return extras;
      const size = sizeOf([e.conditions, e.writes]);
      if (!room(e.writes.length, e.conditions.length, size)) return extras;
      this.extras.shift();
      this.client.queued -= e.writes.length;
      extras.push(e);
      this.client.writeTokens.force(e.writes.length);
      take(e, size);
    }
  }

  private send(conditions: Condition[], pages: Page[], taken: Entry[], extras: Extra[]): void {
    const seq = this.pages.nextSequence();
    const writes: Write[] = pages.map((p) => ({ put: p.key, value: this.pages.value(p, seq) }));
    const sent = pages.map((p) => ({ page: p, keys: new Set([...p.entries].map((e) => e.key)) }));
    for (const e of extras) writes.push(...e.writes);
    const waiting = new Map<Entry, (() => void)[]>();
    for (const e of taken) {
      this.urgent.delete(e);
      this.first.delete(e);
      this.lazy.delete(e);
      e.dirty = false;
      e.inFlight = true;
      const list = this.waiters.get(e);
      if (list !== undefined) waiting.set(e, list);
      this.waiters.delete(e);
    }
    this.writes += writes.length;
    this.client.tokens.force();
    this.inFlight = true;
    this.client.multi(conditions, writes, this.settings.leaderLeaseMs / 4, (result) => {
      this.inFlight = false;
      if (this.closed) return;
      for (const e of taken) e.inFlight = false;
      if (result.kind === 'ok') {
        for (const { page, keys } of sent) this.pages.written(page, keys, result.revision);
        this.called(taken, waiting);
        for (const e of extras) e.done('ok');
        return;
      }
      if (result.kind === 'conflict' && result.failed.includes(this.options.fence.key)) {
        this.options.onFenced();
        return;
      }
      const failed = new Set(result.kind === 'conflict' ? result.failed : []);
      for (const { page, keys } of sent) {
        // After no response the same condition goes out again: of the two copies only one can win,
        // and if it is the first, the second fails on this page and the page is read.
        if (failed.has(page.key)) page.unsure = true;
        if (result.kind === 'unknown') this.pages.perhapsWritten(page, keys);
      }
      for (const e of taken) {
        e.dirty = true;
        this.urgent.add(e);
        const list = waiting.get(e);
        if (list !== undefined) this.waiters.set(e, [...list, ...(this.waiters.get(e) ?? [])]);
      }
      for (const e of extras.reverse()) {
        if (e.conditions.some((c) => failed.has(c.key))) e.done('conflict');
        else {
          this.extras.unshift(e);
          this.client.queued += e.writes.length;
        }
      }
      this.pagesAt = 0;
      if (result.kind !== 'conflict')
        this.pauseUntil = this.core.now() + (result.kind === 'refused' ? 100 : 20);
    });
  }

  private called(taken: Entry[], waiting: Map<Entry, (() => void)[]>): void {
    for (const e of taken) {
      for (const w of waiting.get(e) ?? []) w();
      // Set once more to the same value while it was on its way.
      if (e.dirty) continue;
      const later = this.waiters.get(e);
      this.waiters.delete(e);
      for (const w of later ?? []) w();
    }
  }

  private reread(page: Page): void {
    this.inFlight = true;
    this.client.tokens.force();
    this.client.get(page.key, this.settings.leaderLeaseMs / 4, (got) => {
      this.inFlight = false;
      if (this.closed) return;
      if (got.kind === 'failed') {
        this.pauseUntil = this.core.now() + 100;
        return;
      }
      page.version = got.value?.version ?? 0;
      page.unsure = false;
    });
  }

  private later(ms: number): void {
    const at = this.core.now() + Math.max(5, ms);
    if (at >= this.timerAt) return;
    this.timerAt = at;
    this.core.after(Math.max(5, ms), 'records', () => {
      if (this.timerAt === at) this.timerAt = Infinity;
    });
  }
}
