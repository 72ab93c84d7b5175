/** The leader's records in memory: entries, and the pages that store them. */

/** One of the leader's records: a key and the newest value that was set for it. */
export interface RecordEntry {
  readonly key: string;
  /** The newest value as JSON, or null for a deletion. */
  json: string | null;
  /** Upper bound of the entry's size in its page, in bytes of JSON (`storedSize`). */
  size: number;
  /**
   * The page that contains the newest value, or will contain it once it is written; null if no page has been
   * chosen yet.
   */
  page: Page | null;
  /** Number of pages whose stored copy may contain any value of the key. */
  storedCopies: number;
  /** The page whose stored copy contains the newest value that is known to be stored; null if none is. */
  durablePage: Page | null;
  /** Whether the newest value has not been sent. */
  dirty: boolean;
  /** Whether a value has been sent and the response has not arrived yet. */
  inFlight: boolean;
}

/** A value of the state store that contains many records. It is always written as a whole. */
export interface Page {
  readonly key: string;
  /** The entries whose newest value is in this page, or will be in it once the page is written. */
  readonly entries: Set<RecordEntry>;
  /** Upper bound of the page's size with its current entries, in bytes of JSON (`storedSize`). */
  size: number;
  /** Last known version at the state store; 0 if the page does not exist there. */
  version: number;
  /** Keys that the stored copy may contain. */
  readonly storedKeys: Set<string>;
  /**
   * Whether a write failed because the stored version was not `version`. The page must be reread before the
   * next write.
   */
  versionUnknown: boolean;
}

/** Upper bound of the size of a page without entries, in bytes of JSON. */
export const EMPTY_PAGE_SIZE = 40;

/** Upper bound of the size of an entry without its key and value, in bytes of JSON. */
const ENTRY_OVERHEAD = 8;
/** Size of `null`, in bytes of JSON. */
const NULL_SIZE = 4;

/** Returns the size of a value in the unit of the state store's limits: bytes of its JSON. */
export function storedSize(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** Returns a new entry without a value. */
export function newEntry(key: string): RecordEntry {
  return {
    key,
    json: null,
    size: 0,
    page: null,
    storedCopies: 0,
    durablePage: null,
    dirty: false,
    inFlight: false,
  };
}

/** Returns a new page without entries that does not exist at the state store. */
export function newPage(key: string): Page {
  return {
    key,
    entries: new Set(),
    size: EMPTY_PAGE_SIZE,
    version: 0,
    storedKeys: new Set(),
    versionUnknown: false,
  };
}

/** Sets the entry's newest value, and updates the size of its page. */
export function setJson(entry: RecordEntry, json: string | null): void {
  const valueSize = json === null ? NULL_SIZE : storedSize(json);
  const size = storedSize(entry.key) + valueSize + ENTRY_OVERHEAD;
  if (entry.page !== null) entry.page.size += size - entry.size;
  entry.size = size;
  entry.json = json;
}

/** Moves the entry to `page`, which will contain its newest value. */
export function moveToPage(entry: RecordEntry, page: Page): void {
  if (entry.page === page) return;
  if (entry.page !== null) {
    entry.page.entries.delete(entry);
    entry.page.size -= entry.size;
  }
  entry.page = page;
  page.entries.add(entry);
  page.size += entry.size;
}
