/** Packs the leader's records into pages, the values that the state service stores. */
import { isMap } from '../wire/cbor.js';
import type { Item } from '../wire/state.js';
import { newEntry, newPage, PAGE_HEAD_BYTES, type Entry, type Page } from './page.js';

/** Prefix of the pages' keys at the state service. */
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
/** JSON of an entry beside its key and text. */
const ENTRY_BYTES = 8;
/** JSON of `null`. */
const NULL_BYTES = 4;

/** Size of a value as the state service counts it. */
export function sizeOf(value: unknown): number {
  return JSON.stringify(value).length;
}

/** A page's value as it is stored. */
interface StoredPage {
  sequence: number;
  /** Keys and texts in turn. */
  list: unknown[];
}

function readPage(value: unknown): StoredPage | null {
  if (!isMap(value)) return null;
  const { seq, entries } = value;
  if (typeof seq !== 'number' || !Array.isArray(entries)) return null;
  return { sequence: seq, list: entries };
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
  private nextNumber = 0;

  /** `valueBytes`: the largest value, which may become smaller. */
  constructor(private readonly valueBytes: () => number) {}

  private get fillBytes(): number {
    const most = this.valueBytes();
    return Math.min(most * FILL_SMALL, Math.max(most * FILL, SMALL_BYTES));
  }

  /** Whether the entry can be written at all. */
  writable(entry: Entry): boolean {
    return PAGE_HEAD_BYTES + entry.bytes <= this.valueBytes();
  }

  /** All pages as they were read at takeover. */
  load(items: Item[]): void {
    const newest = new Map<string, number>();
    for (const item of items) {
      const page = this.page(item.key);
      page.version = item.version;
      const number = Number(item.key.slice(PAGES.length));
      if (number >= this.nextNumber) this.nextNumber = number + 1;
      const stored = readPage(item.value);
      if (stored !== null) this.loadPage(page, stored, newest);
    }
    for (const entry of this.entries.values()) this.dropIfGone(entry);
  }

  /** `newest`: by key, the highest sequence number among the pages that were loaded before. */
  private loadPage(page: Page, stored: StoredPage, newest: Map<string, number>): void {
    const { sequence, list } = stored;
    this.sequence = Math.max(this.sequence, sequence);
    for (let i = 0; i + 1 < list.length; i += 2) {
      const key = list[i];
      const text = list[i + 1];
      if (typeof key !== 'string' || (text !== null && typeof text !== 'string')) continue;
      page.stored.add(key);
      const entry = this.entry(key);
      entry.copies++;
      if (sequence <= (newest.get(key) ?? -1)) continue;
      newest.set(key, sequence);
      this.resize(entry, text);
      this.move(entry, page);
      entry.safe = page;
    }
  }

  private page(key: string): Page {
    let page = this.pages.get(key);
    if (page === undefined) {
      page = newPage(key);
      this.pages.set(key, page);
    }
    return page;
  }

  private entry(key: string): Entry {
    let entry = this.entries.get(key);
    if (entry === undefined) {
      entry = newEntry(key);
      this.entries.set(key, entry);
    }
    return entry;
  }

  private resize(entry: Entry, text: string | null): void {
    const bytes = sizeOf(entry.key) + (text === null ? NULL_BYTES : sizeOf(text)) + ENTRY_BYTES;
    if (entry.page !== null) entry.page.bytes += bytes - entry.bytes;
    entry.bytes = bytes;
    entry.text = text;
  }

  /** `undefined` deletes. Returns null if nothing is known of what is to be deleted. */
  set(key: string, value: unknown): Entry | null {
    if (value === undefined && !this.entries.has(key)) return null;
    const entry = this.entry(key);
    const text = value === undefined ? null : JSON.stringify(value);
    if (entry.page !== null && text === entry.text) return entry;
    this.resize(entry, text);
    entry.dirty = true;
    return entry;
  }

  /** The page that the entry's newest value should go to. */
  target(entry: Entry): Page {
    if (this.head !== null && this.headTakes(this.head, entry)) return this.head;
    const emptiest = this.emptiestReusable();
    const reusable =
      emptiest !== null &&
      emptiest.bytes <= this.fillBytes * REUSE &&
      emptiest.bytes + entry.bytes <= this.fillBytes;
    this.head = reusable ? emptiest : this.page(`${PAGES}${this.nextNumber++}`);
    return this.head;
  }

  private headTakes(head: Page, entry: Entry): boolean {
    if (head.unsure) return false;
    const present = entry.page === head;
    const bytes = present ? head.bytes : head.bytes + entry.bytes;
    if (bytes <= this.fillBytes || head.entries.size === 0) return true;
    return present && head.entries.size === 1;
  }

  /** Of the pages that may be written without what has left them, the one with the most room. */
  private emptiestReusable(): Page | null {
    let emptiest: Page | null = null;
    for (const page of this.pages.values()) {
      if (page.unsure || page === this.head) continue;
      if (emptiest !== null && page.bytes >= emptiest.bytes) continue;
      if (!this.guarded(page)) emptiest = page;
    }
    return emptiest;
  }

  /**
   * Whether the page's stored copy is what is left of an entry that has moved on: its new page has not
   * surely been written yet. Were the page written without it, a leader that ended then would leave a
   * record behind nowhere.
   */
  private guarded(page: Page): boolean {
    for (const key of page.stored) {
      const entry = this.entries.get(key);
      if (entry?.safe === page && entry.page !== page) return true;
    }
    return false;
  }

  /** Makes `page` the one that has the entry's newest value. */
  move(entry: Entry, page: Page): void {
    if (entry.page === page) return;
    if (entry.page !== null) {
      entry.page.entries.delete(entry);
      entry.page.bytes -= entry.bytes;
    }
    entry.page = page;
    page.entries.add(entry);
    page.bytes += entry.bytes;
  }

  /** What is written. Every commit has a later number than all before. */
  value(page: Page, sequence: number): unknown {
    const entries: (string | null)[] = [];
    for (const entry of page.entries) entries.push(entry.key, entry.text);
    return { seq: sequence, entries };
  }

  /** The number of the next commit. */
  nextSequence(): number {
    return ++this.sequence;
  }

  /** The page may have been written with these keys: no answer came. */
  perhapsWritten(page: Page, keys: Set<string>): void {
    for (const key of keys) {
      const entry = this.entries.get(key);
      if (entry === undefined || page.stored.has(key)) continue;
      page.stored.add(key);
      entry.copies++;
    }
  }

  /** The page has been written with these keys and no others. */
  written(page: Page, keys: Set<string>, version: number): void {
    this.perhapsWritten(page, keys);
    page.version = version;
    for (const key of page.stored) {
      if (keys.has(key)) continue;
      page.stored.delete(key);
      const entry = this.entries.get(key);
      if (entry === undefined) continue;
      entry.copies--;
      this.dropIfGone(entry);
    }
    for (const key of keys) {
      const entry = this.entries.get(key);
      if (entry === undefined) continue;
      entry.safe = page;
      this.dropIfGone(entry);
    }
  }

  /** A deletion has to stay on record for as long as some other page may have an older value. */
  private dropIfGone(entry: Entry): void {
    const { page } = entry;
    if (entry.text !== null || page === null || entry.dirty || entry.inFlight) return;
    const elsewhere = entry.copies - (page.stored.has(entry.key) ? 1 : 0);
    if (elsewhere > 0) return;
    page.entries.delete(entry);
    page.stored.delete(entry.key);
    page.bytes -= entry.bytes;
    this.entries.delete(entry.key);
  }
}
