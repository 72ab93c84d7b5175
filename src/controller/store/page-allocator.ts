/** Chooses the pages to which the leader's records are written. */
import { EMPTY_PAGE_SIZE, newPage, type Page, type RecordEntry } from './page.js';
import { pageKey } from './page-codec.js';

/**
 * How far new entries fill a page, as a ratio of the largest value. Small pages cost little to rewrite;
 * but where values are small themselves, each put should carry what it can.
 */
const FILL_RATIO = 0.4;
const SMALL_VALUE_FILL_RATIO = 0.8;
const SMALL_VALUE_SIZE = 2048;
/** A page is filled again once no more than this ratio of the size it is filled to is still in use. */
const REUSE_RATIO = 0.25;

/** The entries and pages among which the allocator chooses; it adds the pages that are new. */
export interface AllocatedPages {
  readonly entries: ReadonlyMap<string, RecordEntry>;
  readonly pages: Map<string, Page>;
}

/**
 * Directs all entries that change to one page, the open page, so that a commit usually puts a single
 * value however many records it is about. Once the open page is full, a page that most of its entries
 * have left becomes the open page, with those that stayed, or else a new one.
 */
export class PageAllocator {
  private openPage: Page | null = null;
  private nextPageNumber = 0;

  /** `maxValueSize`: the largest value of the state store, which may become smaller. */
  constructor(
    private readonly table: AllocatedPages,
    private readonly maxValueSize: () => number,
  ) {}

  /** Pages that are made from now on have higher numbers. */
  skipPageNumber(number: number): void {
    if (number >= this.nextPageNumber) this.nextPageNumber = number + 1;
  }

  /** Whether the entry can be written at all. */
  fitsInPage(entry: RecordEntry): boolean {
    return EMPTY_PAGE_SIZE + entry.size <= this.maxValueSize();
  }

  /** The page that the entry's newest value should go to. */
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
    const emptiest = this.emptiestWritable();
    if (emptiest === null) return null;
    const { fillSize } = this;
    const isNearlyEmpty = emptiest.size <= fillSize * REUSE_RATIO;
    return isNearlyEmpty && emptiest.size + entry.size <= fillSize ? emptiest : null;
  }

  /** Of the pages that may be written without the entries that have left them, the one with most space. */
  private emptiestWritable(): Page | null {
    let emptiest: Page | null = null;
    for (const page of this.table.pages.values()) {
      if (page.versionUnknown || page === this.openPage) continue;
      if (emptiest !== null && page.size >= emptiest.size) continue;
      if (!this.holdsLastDurableCopy(page)) emptiest = page;
    }
    return emptiest;
  }

  /**
   * Whether the page's stored copy has the only surely stored value of an entry that has moved on: the
   * write of its new page has not succeeded yet. If the page were written without the entry and the
   * leader ended then, its successor would find the record nowhere.
   */
  private holdsLastDurableCopy(page: Page): boolean {
    for (const key of page.storedKeys) {
      const entry = this.table.entries.get(key);
      if (entry?.durablePage === page && entry.page !== page) return true;
    }
    return false;
  }
}
