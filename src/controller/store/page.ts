/** The leader's records as they are held in memory: entries, and the pages that store them. */

/** One of the leader's records: a key and the newest value that was set. */
export interface RecordEntry {
  readonly key: string;
  /** The newest value as JSON; null: deleted. */
  json: string | null;
  /** Size in its page, as the state store counts it. */
  size: number;
  /** The page that has the newest value, or will have it. */
  page: Page | null;
  /** Number of pages whose stored copy may have a value of the key, whatever its age. */
  storedCopies: number;
  /** The page whose stored copy has the newest value that is surely stored. */
  durablePage: Page | null;
  /** The newest value has not been sent. */
  dirty: boolean;
  /** A value has been sent, and there is no response yet. */
  inFlight: boolean;
}

/** A value of the state store that holds many records. It is always written whole. */
export interface Page {
  readonly key: string;
  /** The entries whose newest value is in this page, or will be. */
  readonly entries: Set<RecordEntry>;
  /** Size of the page with its present entries, as the state store counts it. */
  size: number;
  /** Version at the state store as far as known; 0: absent. */
  version: number;
  /** Keys that the stored copy may contain. */
  readonly storedKeys: Set<string>;
  /** A write of the page met another version: it is read before it is written again. */
  versionUnknown: boolean;
}

/** Size of the JSON of a page without entries. */
export const EMPTY_PAGE_SIZE = 40;

/** Size of the JSON of an entry beside its key and value. */
const ENTRY_OVERHEAD = 8;
/** Size of the JSON of `null`. */
const NULL_SIZE = 4;

/** Size of a value in the unit in which the state store limits it: characters of its JSON. */
export function storedSize(value: unknown): number {
  return JSON.stringify(value).length;
}

/** An entry of which no value is known yet. */
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

/** A page without entries that the state store does not have. */
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

/** Sets the entry's newest value, and keeps the size of its page. */
export function setJson(entry: RecordEntry, json: string | null): void {
  const valueSize = json === null ? NULL_SIZE : storedSize(json);
  const size = storedSize(entry.key) + valueSize + ENTRY_OVERHEAD;
  if (entry.page !== null) entry.page.size += size - entry.size;
  entry.size = size;
  entry.json = json;
}

/** Makes `page` the one that has the entry's newest value. */
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
