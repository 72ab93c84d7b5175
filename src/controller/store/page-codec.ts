/** The form in which pages of records are stored. It is fixed: other versions of the program read it. */
import { isMap } from '../wire/cbor.js';
import type { Page } from './page.js';

/** Prefix of the pages' keys at the state store; a number follows. */
export const PAGE_PREFIX = 'page/';

/** The key of the page with a number. */
export function pageKey(number: number): string {
  return `${PAGE_PREFIX}${number}`;
}

/** The number in a page's key; NaN where the key has none. */
export function pageNumber(key: string): number {
  return Number(key.slice(PAGE_PREFIX.length));
}

/** A page's value as it is stored. */
export interface StoredPage {
  kind: 'page';
  /** Number of the commit that wrote the page: of two values of a key, that of the later commit counts. */
  sequence: number;
  /** Keys and values in turn; the values are JSON, or null for a deletion. */
  keysAndJson: readonly unknown[];
}

/** The value that is written for a page. */
export function encodePage(page: Page, sequence: number): unknown {
  const keysAndJson: (string | null)[] = [];
  for (const entry of page.entries) keysAndJson.push(entry.key, entry.json);
  return { seq: sequence, entries: keysAndJson };
}

/** Reads a page's value; what its list contains is for the caller to check. */
export function decodePage(value: unknown): StoredPage | { kind: 'malformed' } {
  if (!isMap(value)) return { kind: 'malformed' };
  const { seq, entries } = value;
  if (typeof seq !== 'number' || !Array.isArray(entries)) return { kind: 'malformed' };
  return { kind: 'page', sequence: seq, keysAndJson: entries };
}
