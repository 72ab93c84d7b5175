/** The two forms in which the leader's records are held: entries, and the pages that store them. */

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

/** Size of the JSON of a page without entries. */
export const PAGE_HEAD_BYTES = 40;

/** An entry of which no value is known yet. */
export function newEntry(key: string): Entry {
  return {
    key,
    text: null,
    bytes: 0,
    page: null,
    copies: 0,
    safe: null,
    dirty: false,
    inFlight: false,
  };
}

/** A page without entries that the state service does not have. */
export function newPage(key: string): Page {
  return {
    key,
    entries: new Set(),
    bytes: PAGE_HEAD_BYTES,
    version: 0,
    stored: new Set(),
    unsure: false,
  };
}
