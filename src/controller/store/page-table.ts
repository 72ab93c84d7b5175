/** Packs the leader's records into pages, the values that the state service stores. */
import { isMap } from '../wire/cbor.js';
import type { KeyValue } from '../wire/state.js';
import { newEntry, newPage, EMPTY_PAGE_BYTES, type RecordEntry, type Page } from './page.js';

/** Prefix of the pages' keys at the state service. */
export const PAGE_PREFIX = 'page/';

/**
 * Room of a page that new entries fill, as a share of the largest value. Small pages cost little to
 * rewrite; but where values are small themselves, each put should carry what it can.
 */
const FILL_RATIO = 0.4;
const SMALL_VALUE_FILL_RATIO = 0.8;
const SMALL_VALUE_BYTES = 2048;
/** A page is filled again once no more than this share of that room is still in use. */
const REUSE_RATIO = 0.25;
/** JSON of an entry beside its key and text. */
const ENTRY_BYTES = 8;
/** JSON of `null`. */
const NULL_BYTES = 4;

/** Size of a value as the state service counts it. */
export function storedSize(value: unknown): number {
  return JSON.stringify(value).length;
}

/** A page's value as it is stored. */
interface StoredPage {
  sequence: number;
  /** Keys and texts in turn. */
  keysAndJson: unknown[];
}

function readPage(value: unknown): StoredPage | null {
  if (!isMap(value)) return null;
  const { seq, entries } = value;
  if (typeof seq !== 'number' || !Array.isArray(entries)) return null;
  return { sequence: seq, keysAndJson: entries };
}

/**
 * The leader's records, packed into pages. What changes moves to one page, the head, so that a
 * commit usually puts a single value however many records it is about; a page that has been left by
 * most of its entries becomes the head again, with those that stayed. Values left behind in other
 * pages are told from newer ones by the sequence number of the page.
 */
export class PageTable {
  readonly entries = new Map<string, RecordEntry>();
  readonly pages = new Map<string, Page>();
  private openPage: Page | null = null;
  private sequence = 0;
  private nextPageNumber = 0;

  /** `valueBytes`: the largest value, which may become smaller. */
  constructor(private readonly valueBytes: () => number) {}

  private get fillBytes(): number {
    const most = this.valueBytes();
    return Math.min(most * SMALL_VALUE_FILL_RATIO, Math.max(most * FILL_RATIO, SMALL_VALUE_BYTES));
  }

  /** Whether the entry can be written at all. */
  fitsInPage(entry: RecordEntry): boolean {
    return EMPTY_PAGE_BYTES + entry.bytes <= this.valueBytes();
  }

  /** All pages as they were read at takeover. */
  load(items: KeyValue[]): void {
    const newest = new Map<string, number>();
    for (const item of items) {
      const page = this.page(item.key);
      page.version = item.version;
      const number = Number(item.key.slice(PAGE_PREFIX.length));
      if (number >= this.nextPageNumber) this.nextPageNumber = number + 1;
      const stored = readPage(item.value);
      if (stored !== null) this.loadPage(page, stored, newest);
    }
    for (const entry of this.entries.values()) this.dropIfObsolete(entry);
  }

  /** `newest`: by key, the highest sequence number among the pages that were loaded before. */
  private loadPage(page: Page, stored: StoredPage, newest: Map<string, number>): void {
    const { sequence, keysAndJson } = stored;
    this.sequence = Math.max(this.sequence, sequence);
    for (let i = 0; i + 1 < keysAndJson.length; i += 2) {
      const key = keysAndJson[i];
      const text = keysAndJson[i + 1];
      if (typeof key !== 'string' || (text !== null && typeof text !== 'string')) continue;
      page.storedKeys.add(key);
      const entry = this.entry(key);
      entry.storedCopies++;
      if (sequence <= (newest.get(key) ?? -1)) continue;
      newest.set(key, sequence);
      this.resize(entry, text);
      this.move(entry, page);
      entry.durablePage = page;
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

  private entry(key: string): RecordEntry {
    let entry = this.entries.get(key);
    if (entry === undefined) {
      entry = newEntry(key);
      this.entries.set(key, entry);
    }
    return entry;
  }

  private resize(entry: RecordEntry, text: string | null): void {
    const bytes =
      storedSize(entry.key) + (text === null ? NULL_BYTES : storedSize(text)) + ENTRY_BYTES;
    if (entry.page !== null) entry.page.bytes += bytes - entry.bytes;
    entry.bytes = bytes;
    entry.json = text;
  }

  /** `undefined` deletes. Returns null if nothing is known of what is to be deleted. */
  set(key: string, value: unknown): RecordEntry | null {
    if (value === undefined && !this.entries.has(key)) return null;
    const entry = this.entry(key);
    const text = value === undefined ? null : JSON.stringify(value);
    if (entry.page !== null && text === entry.json) return entry;
    this.resize(entry, text);
    entry.dirty = true;
    return entry;
  }

  /** The page that the entry's newest value should go to. */
  targetPage(entry: RecordEntry): Page {
    if (this.openPage !== null && this.openPageTakes(this.openPage, entry)) return this.openPage;
    const emptiest = this.emptiestReusable();
    const reusable =
      emptiest !== null &&
      emptiest.bytes <= this.fillBytes * REUSE_RATIO &&
      emptiest.bytes + entry.bytes <= this.fillBytes;
    this.openPage = reusable ? emptiest : this.page(`${PAGE_PREFIX}${this.nextPageNumber++}`);
    return this.openPage;
  }

  private openPageTakes(head: Page, entry: RecordEntry): boolean {
    if (head.versionUnknown) return false;
    const present = entry.page === head;
    const bytes = present ? head.bytes : head.bytes + entry.bytes;
    if (bytes <= this.fillBytes || head.entries.size === 0) return true;
    return present && head.entries.size === 1;
  }

  /** Of the pages that may be written without what has left them, the one with the most room. */
  private emptiestReusable(): Page | null {
    let emptiest: Page | null = null;
    for (const page of this.pages.values()) {
      if (page.versionUnknown || page === this.openPage) continue;
      if (emptiest !== null && page.bytes >= emptiest.bytes) continue;
      if (!this.holdsLastDurableCopy(page)) emptiest = page;
    }
    return emptiest;
  }

  /**
   * Whether the page's stored copy is what is left of an entry that has moved on: its new page has not
   * surely been written yet. Were the page written without it, a leader that ended then would leave a
   * record behind nowhere.
   */
  private holdsLastDurableCopy(page: Page): boolean {
    for (const key of page.storedKeys) {
      const entry = this.entries.get(key);
      if (entry?.durablePage === page && entry.page !== page) return true;
    }
    return false;
  }

  /** Makes `page` the one that has the entry's newest value. */
  move(entry: RecordEntry, page: Page): void {
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
  pageValue(page: Page, sequence: number): unknown {
    const entries: (string | null)[] = [];
    for (const entry of page.entries) entries.push(entry.key, entry.json);
    return { seq: sequence, entries };
  }

  /** The number of the next commit. */
  nextSequence(): number {
    return ++this.sequence;
  }

  /** The page may have been written with these keys: no answer came. */
  markPerhapsWritten(page: Page, keys: Set<string>): void {
    for (const key of keys) {
      const entry = this.entries.get(key);
      if (entry === undefined || page.storedKeys.has(key)) continue;
      page.storedKeys.add(key);
      entry.storedCopies++;
    }
  }

  /** The page has been written with these keys and no others. */
  markWritten(page: Page, keys: Set<string>, version: number): void {
    this.markPerhapsWritten(page, keys);
    page.version = version;
    for (const key of page.storedKeys) {
      if (keys.has(key)) continue;
      page.storedKeys.delete(key);
      const entry = this.entries.get(key);
      if (entry === undefined) continue;
      entry.storedCopies--;
      this.dropIfObsolete(entry);
    }
    for (const key of keys) {
      const entry = this.entries.get(key);
      if (entry === undefined) continue;
      entry.durablePage = page;
      this.dropIfObsolete(entry);
    }
  }

  /** A deletion has to stay on record for as long as some other page may have an older value. */
  private dropIfObsolete(entry: RecordEntry): void {
    const { page } = entry;
    if (entry.json !== null || page === null || entry.dirty || entry.inFlight) return;
    const elsewhere = entry.storedCopies - (page.storedKeys.has(entry.key) ? 1 : 0);
    if (elsewhere > 0) return;
    page.entries.delete(entry);
    page.storedKeys.delete(entry.key);
    page.bytes -= entry.bytes;
    this.entries.delete(entry.key);
  }
}
