/** Chooses the pages to which the leader's records are written. */
import { EMPTY_PAGE_SIZE, newPage, type Page, type RecordEntry } from './page.js';
import { pageKey } from './page-codec.js';

/** A page is filled up to this fraction of the largest value size, since small pages are cheap to rewrite. */
const FILL_RATIO = 0.4;
/**
 * If the largest value size is small, pages are filled up to `SMALL_VALUE_SIZE`, so that each put carries as
 * much as possible. They are never filled beyond this fraction of the largest value size.
 */
const SMALL_VALUE_FILL_RATIO = 0.8;
/**
 * Size to which pages are filled if `FILL_RATIO` would give a smaller one, in bytes of JSON
 * (`storedSize`).
 */
const SMALL_VALUE_SIZE = 2048;
/** A page may be filled again if its size is at most this fraction of the size to which pages are filled. */
const REUSE_RATIO = 0.25;

/** The entries and the pages. The allocator chooses among the pages and adds new ones. */
export interface AllocatedPages {
  readonly entries: ReadonlyMap<string, RecordEntry>;
  readonly pages: Map<string, Page>;
}

/**
 * Assigns all changed entries to one page, the open page, so that a commit usually puts a single value
 * regardless of the number of records. When the open page is full, it is replaced by a page from which
 * most entries have moved away (the others stay in it), or by a new page if there is none.
 */
export class PageAllocator {
  private openPage: Page | null = null;
  private nextPageNumber = 0;

  /**
   * @param table - the entries and pages
   * @param maxValueSize - returns the largest size of a value that may be written now; it may change
   */
  constructor(
    private readonly table: AllocatedPages,
    private readonly maxValueSize: () => number,
  ) {}

  /** Ensures that new pages get numbers higher than `number`. */
  skipPageNumber(number: number): void {
    if (number >= this.nextPageNumber) this.nextPageNumber = number + 1;
  }

  /** Returns whether a page with only this entry is within the largest value size. */
  fitsInPage(entry: RecordEntry): boolean {
    return EMPTY_PAGE_SIZE + entry.size <= this.maxValueSize();
  }

  /** Returns the page to which the entry's newest value should be written. */
  targetPage(entry: RecordEntry): Page {
    if (this.openPage !== null && this.openPageAccepts(this.openPage, entry)) return this.openPage;
    this.openPage = this.reusablePage(entry) ?? this.addPage();
    return this.openPage;
  }

  private get fillSize(): number {
    const maxSize = this.maxValueSize();
    return Math.min(
      maxSize * SMALL_VALUE_FILL_RATIO,
      Math.max(maxSize * FILL_RATIO, SMALL_VALUE_SIZE),
    );
  }

  private openPageAccepts(openPage: Page, entry: RecordEntry): boolean {
    if (openPage.versionUnknown) return false;
    const isInOpenPage = entry.page === openPage;
    const size = isInOpenPage ? openPage.size : openPage.size + entry.size;
    if (size <= this.fillSize || openPage.entries.size === 0) return true;
    return isInOpenPage && openPage.entries.size === 1;
  }

  private addPage(): Page {
    const page = newPage(pageKey(this.nextPageNumber++));
    this.table.pages.set(page.key, page);
    return page;
  }

  private reusablePage(entry: RecordEntry): Page | null {
    const smallest = this.smallestWritable();
    if (smallest === null) return null;
    const { fillSize } = this;
    const isNearlyEmpty = smallest.size <= fillSize * REUSE_RATIO;
    return isNearlyEmpty && smallest.size + entry.size <= fillSize ? smallest : null;
  }

  /** Returns the smallest page, except the open one, that can be rewritten without losing a record. */
  private smallestWritable(): Page | null {
    let smallest: Page | null = null;
    for (const page of this.table.pages.values()) {
      if (page.versionUnknown || page === this.openPage) continue;
      if (smallest !== null && page.size >= smallest.size) continue;
      if (!this.holdsLastDurableCopy(page)) smallest = page;
    }
    return smallest;
  }

  /**
   * Returns whether only this page's stored copy is known to contain the last stored value of some entry. The
   * reason is then that the entry has moved to another page, whose write has not succeeded yet. If the leader
   * rewrote this page without the entry and ended before the other write, the next leader would not find the
   * record.
   */
  private holdsLastDurableCopy(page: Page): boolean {
    for (const key of page.storedKeys) {
      const entry = this.table.entries.get(key);
      if (entry?.durablePage === page && entry.page !== page) return true;
    }
    return false;
  }
}
