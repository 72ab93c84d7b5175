/** The stored form of pages of records. It must not change, because other versions of the program read it. */
import { isMap } from '../wire/cbor.js';
import type { Page } from './page.js';

/** Prefix of the pages' keys at the state store. The number of the page follows it. */
export const PAGE_PREFIX = 'page/';

/** Returns the key of the page with this number. */
export function pageKey(number: number): string {
  return `${PAGE_PREFIX}${number}`;
}

/** Returns the number in a page's key, or NaN if it contains none. */
export function pageNumber(key: string): number {
  return Number(key.slice(PAGE_PREFIX.length));
}

/** The stored value of a page. */
export interface StoredPage {
  kind: 'page';
  /**
   * Number of the commit that wrote the page. If several pages contain a key, the value in the page with the
   * highest number is the newest.
   */
  sequence: number;
  /** Alternating keys and values. Each value is JSON, or null for a deletion. */
  keysAndJson: readonly unknown[];
}

/** Returns the value to store for a page. */
export function encodePage(page: Page, sequence: number): unknown {
  const keysAndJson: (string | null)[] = [];
  for (const entry of page.entries) keysAndJson.push(entry.key, entry.json);
  return { seq: sequence, entries: keysAndJson };
}

/** Decodes the stored value of a page. The caller has to check the elements of `keysAndJson`. */
export function decodePage(value: unknown): StoredPage | { kind: 'malformed' } {
  if (!isMap(value)) return { kind: 'malformed' };
  const { seq, entries } = value;
  if (typeof seq !== 'number' || !Array.isArray(entries)) return { kind: 'malformed' };
  return { kind: 'page', sequence: seq, keysAndJson: entries };
}
