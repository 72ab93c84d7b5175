/** The leader's records and the pages that they are stored in. */
import type { KeyValue } from '../wire/state.js';
import { PageAllocator } from './page-allocator.js';
import { decodePage, pageNumber, type StoredPage } from './page-codec.js';
import { moveToPage, newEntry, newPage, setJson, type Page, type RecordEntry } from './page.js';

/**
 * All records, and which page has the newest value of each. Values that were left behind in other pages
 * are told from newer ones by the sequence number of the commit that wrote the page.
 *
 * Invariant (docs/incidents/inc-7e8d.md): whatever commits fail, the stored pages contain the newest
 * value of each record that was called stored, or a later one.
 */
export class PageTable {
  readonly entries = new Map<string, RecordEntry>();
  readonly pages = new Map<string, Page>();
  readonly allocator: PageAllocator;
  private sequence = 0;

  /** `maxValueSize`: the largest value of the state store, which may become smaller. */
  constructor(maxValueSize: () => number) {
    this.allocator = new PageAllocator(this, maxValueSize);
  }

  /** Takes over all pages that are stored. Malformed ones count as empty. */
  load(items: readonly KeyValue[]): void {
    const newestSequence = new Map<string, number>();
    for (const item of items) {
      const page = this.findOrAddPage(item.key);
      page.version = item.version;
      this.allocator.skipPageNumber(pageNumber(item.key));
      const stored = decodePage(item.value);
      if (stored.kind === 'page') this.loadPage(page, stored, newestSequence);
    }
    for (const entry of this.entries.values()) this.dropIfObsolete(entry);
  }

  /** `newestSequence`: by key, the highest sequence number among the pages that were loaded before. */
  private loadPage(page: Page, stored: StoredPage, newestSequence: Map<string, number>): void {
    const { sequence, keysAndJson } = stored;
    this.sequence = Math.max(this.sequence, sequence);
    for (let i = 0; i + 1 < keysAndJson.length; i += 2) {
      const key = keysAndJson[i];
      const json = keysAndJson[i + 1];
      if (typeof key !== 'string' || (json !== null && typeof json !== 'string')) continue;
      page.storedKeys.add(key);
      const entry = this.findOrAddEntry(key);
      entry.storedCopies++;
      if (sequence <= (newestSequence.get(key) ?? -1)) continue;
      newestSequence.set(key, sequence);
      setJson(entry, json);
      moveToPage(entry, page);
      entry.durablePage = page;
    }
  }

  private findOrAddPage(key: string): Page {
    let page = this.pages.get(key);
    if (page === undefined) {
      page = newPage(key);
      this.pages.set(key, page);
    }
    return page;
  }

  private findOrAddEntry(key: string): RecordEntry {
    let entry = this.entries.get(key);
    if (entry === undefined) {
      entry = newEntry(key);
      this.entries.set(key, entry);
    }
    return entry;
  }

  /** Sets a value; `undefined` deletes. Returns null if the key to be deleted has no record. */
  set(key: string, value: unknown): RecordEntry | null {
    if (value === undefined && !this.entries.has(key)) return null;
    const entry = this.findOrAddEntry(key);
    const json = value === undefined ? null : JSON.stringify(value);
    if (entry.page !== null && json === entry.json) return entry;
    setJson(entry, json);
    entry.dirty = true;
    return entry;
  }

  /** The number of the next commit. */
  nextSequence(): number {
    return ++this.sequence;
  }

  /** A write of the page with these keys had no response: it may have been carried out. */
  markPossiblyWritten(page: Page, keys: ReadonlySet<string>): void {
    for (const key of keys) {
      const entry = this.entries.get(key);
      if (entry === undefined || page.storedKeys.has(key)) continue;
      page.storedKeys.add(key);
      entry.storedCopies++;
    }
  }

  /** The page has been written with these keys and no others. */
  markWritten(page: Page, keys: ReadonlySet<string>, version: number): void {
    this.markPossiblyWritten(page, keys);
    page.version = version;
    this.removeOverwrittenKeys(page, keys);
    for (const key of keys) {
      const entry = this.entries.get(key);
      if (entry === undefined) continue;
      entry.durablePage = page;
      this.dropIfObsolete(entry);
    }
  }

  /** The stored copy no longer has the keys that were not written. */
  private removeOverwrittenKeys(page: Page, keys: ReadonlySet<string>): void {
    for (const key of page.storedKeys) {
      if (keys.has(key)) continue;
      page.storedKeys.delete(key);
      const entry = this.entries.get(key);
      if (entry === undefined) continue;
      entry.storedCopies--;
      this.dropIfObsolete(entry);
    }
  }

  /** A deletion has to stay on record for as long as some other page may have an older value. */
  private dropIfObsolete(entry: RecordEntry): void {
    const { page } = entry;
    if (entry.json !== null || page === null || entry.dirty || entry.inFlight) return;
    const copiesElsewhere = entry.storedCopies - (page.storedKeys.has(entry.key) ? 1 : 0);
    if (copiesElsewhere > 0) return;
    page.entries.delete(entry);
    page.storedKeys.delete(entry.key);
    page.size -= entry.size;
    this.entries.delete(entry.key);
  }
}
