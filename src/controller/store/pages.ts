import { isMap } from '../wire/cbor.js';
import type { Item } from '../wire/state.js';

/** One of the leader's records: a key and the newest value that was set, in JSON form. */
export interface Entry {
  readonly key: string;
  /** null: deleted. */
  text: string | null;
  /** Size in its page, as the state service counts it. */
  bytes: number;
  /** The page that has the newest value, or will have it. */
  page: Page | null;
  /** Pages that may have some value of the key at the state service. */
  copies: number;
  /** The page whose stored copy has the newest value that is surely stored. */
  safe: Page | null;
  /** The newest value has not been sent. */
  dirty: boolean;
  /** A value has been sent and not been answered. */
  inFlight: boolean;
}

/** A value of the state service that holds many records. It is always written whole. */
export interface Page {
  readonly key: string;
  readonly entries: Set<Entry>;
  bytes: number;
  /** Version at the service as far as known; 0: absent. */
  version: number;
  /** Keys that some copy of the page at the service may contain. */
  stored: Set<string>;
  /** A write of it met another version: it is read before it is written again. */
  unsure: boolean;
}

export const PAGES = 'page/';

/**
 * Room of a page that new entries fill, as a share of the largest value. Small pages cost little to
 * rewrite; but where values are small themselves, each put should carry what it can.
 */
const FILL = 0.4;
const FILL_SMALL = 0.8;
const SMALL_BYTES = 2048;
/** A page is filled again once no more than this share of that room is still in use. */
const REUSE = 0.25;
/** JSON of a page without entries, and of an entry beside its key and text. */
const HEAD_BYTES = 40;
const ENTRY_BYTES = 8;

/** Size of a value as the state service counts it. */
export function sizeOf(value: unknown): number {
  return JSON.stringify(value).length;
}

/**
 * The leader's records, packed into pages. What changes moves to one page, the head, so that a
 * commit usually puts a single value however many records it is about; a page that has been left by
 * most of its entries becomes the head again, with those that stayed. Values left behind in other
 * pages are told from newer ones by the sequence number of the page.
 */
export class Pages {
  readonly entries = new Map<string, Entry>();
  readonly pages = new Map<string, Page>();
  private head: Page | null = null;
  private sequence = 0;
  private number = 0;

  /** `valueBytes`: the largest value, which may become smaller. */
  constructor(private readonly valueBytes: () => number) {}

  private get fill(): number {
    const most = this.valueBytes();
    return Math.min(most * FILL_SMALL, Math.max(most * FILL, SMALL_BYTES));
  }

  /** Whether the entry can be written at all. */
  writable(e: Entry): boolean {
    return HEAD_BYTES + e.bytes <= this.valueBytes();
  }

  /** All pages as they were read at takeover. */
  load(items: Item[]): void {
    const newest = new Map<string, number>();
    for (const item of items) {
      const page = this.page(item.key);
      page.version = item.version;
      const number = Number(item.key.slice(PAGES.length));
      if (number >= this.number) this.number = number + 1;
      const v = item.value;
      if (!isMap(v) || typeof v['seq'] !== 'number' || !Array.isArray(v['entries'])) continue;
      const { seq } = v;
      this.sequence = Math.max(this.sequence, seq);
      const list = v['entries'] as unknown[];
      for (let i = 0; i + 1 < list.length; i += 2) {
        const key = list[i];
        const text = list[i + 1];
        if (typeof key !== 'string' || (text !== null && typeof text !== 'string')) continue;
        page.stored.add(key);
        const e = this.entry(key);
        e.copies++;
        if (seq <= (newest.get(key) ?? -1)) continue;
        newest.set(key, seq);
        this.resize(e, text);
        this.move(e, page);
        e.safe = page;
      }
    }
    for (const e of this.entries.values()) this.dropIfGone(e);
  }

  private page(key: string): Page {
    let p = this.pages.get(key);
    if (p === undefined) {
      p = {
        ...{ key, entries: new Set<Entry>(), bytes: HEAD_BYTES, version: 0 },
        ...{ stored: new Set<string>(), unsure: false },
      };
      this.pages.set(key, p);
    }
    return p;
  }

  private entry(key: string): Entry {
    let e = this.entries.get(key);
    if (e === undefined) {
      e = {
        ...{ key, text: null, bytes: 0, page: null, copies: 0, safe: null },
        ...{ dirty: false, inFlight: false },
      };
      this.entries.set(key, e);
    }
    return e;
  }

  private resize(e: Entry, text: string | null): void {
    const bytes = sizeOf(e.key) + (text === null ? 4 : sizeOf(text)) + ENTRY_BYTES;
    if (e.page !== null) e.page.bytes += bytes - e.bytes;
    e.bytes = bytes;
    e.text = text;
  }

  /** `undefined` deletes. Returns null if nothing is known of what is to be deleted. */
  set(key: string, value: unknown): Entry | null {
    if (value === undefined && !this.entries.has(key)) return null;
    const e = this.entry(key);
    const text = value === undefined ? null : JSON.stringify(value);
    if (e.page !== null && text === e.text) return e;
    this.resize(e, text);
    e.dirty = true;
    return e;
  }

  /** The page that the entry's newest value should go to. */
  target(e: Entry): Page {
    const head = this.head;
    if (head !== null && !head.unsure) {
      const bytes = e.page === head ? head.bytes : head.bytes + e.bytes;
      if (bytes <= this.fill || head.entries.size === 0) return head;
      if (e.page === head && head.entries.size === 1) return head;
    }
    let best: Page | null = null;
    for (const p of this.pages.values()) {
      if (p.unsure || p === head || (best !== null && p.bytes >= best.bytes)) continue;
      if (!this.guarded(p)) best = p;
    }
    if (best === null || best.bytes > this.fill * REUSE || best.bytes + e.bytes > this.fill)
      best = this.page(`${PAGES}${this.number++}`);
    this.head = best;
    return best;
  }

  /**
   * Whether the page's stored copy is what is left of an entry that has moved on: its new page has not
   * surely been written yet. Were the page written without it, a leader that ended then would leave a
   * record behind nowhere.
   */
  private guarded(page: Page): boolean {
    for (const key of page.stored) {
      const e = this.entries.get(key);
      if (e?.safe === page && e.page !== page) return true;
    }
    return false;
  }

  move(e: Entry, page: Page): void {
    if (e.page === page) return;
    if (e.page !== null) {
      e.page.entries.delete(e);
      e.page.bytes -= e.bytes;
    }
    e.page = page;
    page.entries.add(e);
    page.bytes += e.bytes;
  }

  /** What is written. Every commit has a later number than all before. */
  value(page: Page, seq: number): unknown {
    const entries: (string | null)[] = [];
    for (const e of page.entries) entries.push(e.key, e.text);
    return { seq, entries };
  }

  nextSequence(): number {
    return ++this.sequence;
  }

  /** The page may have been written with these keys: no answer came. */
  perhapsWritten(page: Page, keys: Set<string>): void {
    for (const k of keys) {
      const e = this.entries.get(k);
      if (e === undefined || page.stored.has(k)) continue;
      page.stored.add(k);
      e.copies++;
    }
  }

  written(page: Page, keys: Set<string>, version: number): void {
    this.perhapsWritten(page, keys);
    page.version = version;
    for (const k of page.stored) {
      if (keys.has(k)) continue;
      page.stored.delete(k);
      const e = this.entries.get(k);
      if (e === undefined) continue;
      e.copies--;
      this.dropIfGone(e);
    }
    for (const k of keys) {
      const e = this.entries.get(k);
      if (e === undefined) continue;
      e.safe = page;
      this.dropIfGone(e);
    }
  }

  /** A deletion has to stay on record for as long as some other page may have an older value. */
  private dropIfGone(e: Entry): void {
    const { page } = e;
    if (e.text !== null || page === null || e.dirty || e.inFlight) return;
    const elsewhere = e.copies - (page.stored.has(e.key) ? 1 : 0);
    if (elsewhere > 0) return;
    page.entries.delete(e);
    page.stored.delete(e.key);
    page.bytes -= e.bytes;
    this.entries.delete(e.key);
  }
}
