/** The two forms in which the leader's records are held: entries, and the pages that store them. */

/** One of the leader's records: a key and the newest value that was set, in JSON form. */
export interface RecordEntry {
  readonly key: string;
  /** null: deleted. */
  json: string | null;
  /** Size in its page, as the state service counts it. */
  bytes: number;
  /** The page that has the newest value, or will have it. */
  page: Page | null;
  /** Pages that may have some value of the key at the state service. */
  storedCopies: number;
  /** The page whose stored copy has the newest value that is surely stored. */
  durablePage: Page | null;
  /** The newest value has not been sent. */
  dirty: boolean;
  /** A value has been sent and not been answered. */
  inFlight: boolean;
}

/** A value of the state service that holds many records. It is always written whole. */
export interface Page {
  readonly key: string;
  readonly entries: Set<RecordEntry>;
  bytes: number;
  /** Version at the service as far as known; 0: absent. */
  version: number;
  /** Keys that some copy of the page at the service may contain. */
  storedKeys: Set<string>;
  /** A write of it met another version: it is read before it is written again. */
  versionUnknown: boolean;
}

/** Size of the JSON of a page without entries. */
export const EMPTY_PAGE_BYTES = 40;

/** An entry of which no value is known yet. */
export function newEntry(key: string): RecordEntry {
  return {
    key,
    json: null,
    bytes: 0,
    page: null,
    storedCopies: 0,
    durablePage: null,
    dirty: false,
    inFlight: false,
  };
}

/** A page without entries that the state service does not have. */
export function newPage(key: string): Page {
  return {
    key,
    entries: new Set(),
    bytes: EMPTY_PAGE_BYTES,
    version: 0,
    storedKeys: new Set(),
    versionUnknown: false,
  };
}
