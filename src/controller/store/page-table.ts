/** The leader's records and the pages that they are stored in. */
import type { KeyValue } from '../wire/state.js';
import { PageAllocator } from './page-allocator.js';
import { decodePage, pageNumber, type StoredPage } from './page-codec.js';
import { moveToPage, newEntry, newPage, setJson, type Page, type RecordEntry } from './page.js';

/**
 * All records, and the page of the newest value of each. Other stored pages may still contain older
 * values; the sequence numbers of the commits that wrote the pages show which value is the newest.
 *
 * Invariant (docs/incidents/inc-7e8d.md): whichever commits fail, the stored pages contain the newest
 * value of each record that was reported as stored, or a later one.
 */
export class PageTable {
  readonly entries = new Map<string, RecordEntry>();
  readonly pages = new Map<string, Page>();
  readonly allocator: PageAllocator;
  private sequence = 0;

  /** @param maxValueSize - returns the largest size of a value that may be written now; it may change */
  constructor(maxValueSize: () => number) {
    this.allocator = new PageAllocator(this, maxValueSize);
  }

  /** Loads all stored pages. A malformed page is treated as empty, and a malformed entry is skipped. */
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

  /** @param newestSequence - by key, the highest sequence number of the pages loaded before */
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

  /** Sets a value; `undefined` deletes it. Returns null if the key to delete has no record. */
  set(key: string, value: unknown): RecordEntry | null {
    if (value === undefined && !this.entries.has(key)) return null;
    const entry = this.findOrAddEntry(key);
    const json = value === undefined ? null : JSON.stringify(value);
    if (entry.page !== null && json === entry.json) return entry;
    setJson(entry, json);
    entry.dirty = true;
    return entry;
  }

  /** Returns the sequence number for the next commit. */
  nextSequence(): number {
    return ++this.sequence;
  }

  /** Records that a write of the page with these keys had no response and may have been carried out. */
  markPossiblyWritten(page: Page, keys: ReadonlySet<string>): void {
    for (const key of keys) {
      const entry = this.entries.get(key);
      if (entry === undefined || page.storedKeys.has(key)) continue;
      page.storedKeys.add(key);
      entry.storedCopies++;
    }
  }

  /** Records that the page has been written with exactly these keys. */
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

  /** Removes all other keys from the page's stored keys, because the write has overwritten them. */
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

  /**
   * Drops a deletion that is stored, unless another page may contain an older value of the key. Until that page
   * has been overwritten, a new leader needs the deletion in order to ignore the older value.
   */
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
