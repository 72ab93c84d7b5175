import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { encodePage } from './page-codec.js';
import { EMPTY_PAGE_SIZE, moveToPage, storedSize, type Page } from './page.js';
import { PageTable } from './page-table.js';

const MAX_VALUE_SIZE = 16 * 1024;
/** Largest number of characters by which the size of a record may be overestimated. */
const MAX_SLACK_PER_ENTRY = 8;

/** Returns the stored form of a page with these alternating keys and JSON values. */
function storedPage(seq: number, ...entries: (string | null)[]) {
  return { seq, entries };
}

describe('PageTable', () => {
  let table: PageTable;

  beforeEach(() => {
    table = new PageTable(() => MAX_VALUE_SIZE);
  });

  /** Returns the JSON of a key, or `undefined` if the key has no record. */
  function jsonOf(key: string): string | null | undefined {
    return table.entries.get(key)?.json;
  }

  /** Sets a key's value and completes the write of its page. */
  function write(key: string, value: unknown, page?: Page): Page {
    const entry = table.set(key, value);
    assert.ok(entry !== null);
    const target = page ?? table.allocator.targetPage(entry);
    moveToPage(entry, target);
    entry.dirty = false;
    const keys = new Set([...target.entries].map((pageEntry) => pageEntry.key));
    table.markWritten(target, keys, target.version + 1);
    return target;
  }

  it('loads the value of the latest commit if several pages contain a key, in any order', () => {
    const newer = { key: 'page/0', value: storedPage(7, 'k', '"new"'), version: 2 };
    const older = { key: 'page/1', value: storedPage(3, 'k', '"old"', 'l', '1'), version: 1 };
    table.load([newer, older]);
    assert.equal(jsonOf('k'), '"new"');
    assert.equal(jsonOf('l'), '1');
    assert.equal(table.nextSequence(), 8);
    const reversed = new PageTable(() => MAX_VALUE_SIZE);
    reversed.load([older, newer]);
    assert.equal(reversed.entries.get('k')?.json, '"new"');
  });

  const malformedValues: [string, unknown][] = [
    ['a value that is not a map', 'text'],
    ['no sequence number', { entries: [] }],
    ['no list of entries', { seq: 1, entries: 'k' }],
    ['an entry that is not JSON text', storedPage(1, 'k', 5 as unknown as string)],
  ];
  for (const [fault, value] of malformedValues)
    it(`treats a page with ${fault} as empty, and keeps its version`, () => {
      table.load([{ key: 'page/4', value, version: 9 }]);
      assert.equal(table.entries.size, 0);
      assert.equal(table.pages.get('page/4')?.version, 9);
    });

  it('keeps a deletion until no other page has an older copy of the key', () => {
    table.load([
      { key: 'page/0', value: storedPage(1, 'k', '1'), version: 1 },
      { key: 'page/1', value: storedPage(2, 'other', '1'), version: 1 },
    ]);
    const [first, second] = ['page/0', 'page/1'].map((key) => table.pages.get(key));
    assert.ok(first !== undefined && second !== undefined);
    write('k', undefined, second);
    assert.equal(jsonOf('k'), null, 'page/0 may still contain the value');
    table.markWritten(first, new Set(), 2);
    assert.equal(jsonOf('k'), undefined);
  });

  it('needs no write to delete an unknown key or to set an unchanged value', () => {
    assert.equal(table.set('k', undefined), null);
    write('k', [1]);
    assert.equal(table.set('k', [1])?.dirty, false);
    assert.equal(table.set('k', [2])?.dirty, true);
  });

  it('overestimates the sizes of pages by at most a few characters per record', () => {
    for (let i = 0; i < 200; i++) {
      const isDeletion = i >= 50 && i % 7 === 0;
      write(`k/${i % 50}`, isDeletion ? undefined : 'x'.repeat(5 * i));
    }
    assert.ok(table.pages.size > 1);
    for (const page of table.pages.values()) {
      const size = storedSize(encodePage(page, 1));
      const slack = EMPTY_PAGE_SIZE + MAX_SLACK_PER_ENTRY * page.entries.size;
      assert.ok(
        page.size >= size && page.size <= size + slack,
        `estimated ${page.size}, stored ${size}`,
      );
      assert.ok(page.size <= MAX_VALUE_SIZE);
    }
  });

  describe('allocator', () => {
    it('assigns records to one page until it is full', () => {
      const pages = new Set([1, 2, 3].map((i) => write(`k/${i}`, 'x'.repeat(100))));
      assert.equal(pages.size, 1);
      assert.notEqual(write('k/4', 'x'.repeat(MAX_VALUE_SIZE / 2)), [...pages][0]);
    });

    it('does not reuse the number of a loaded page', () => {
      const large = JSON.stringify('x'.repeat(MAX_VALUE_SIZE / 2));
      table.load([{ key: 'page/12', value: storedPage(1, 'l', large), version: 1 }]);
      assert.equal(write('k', 'x').key, 'page/13');
    });

    it('does not choose a page whose version is unknown', () => {
      const page = write('k/1', 1);
      page.versionUnknown = true;
      assert.notEqual(write('k/2', 2), page);
    });

    it('rejects a record that exceeds the largest value size', () => {
      const entry = table.set('k', 'x'.repeat(MAX_VALUE_SIZE));
      assert.ok(entry !== null);
      assert.equal(table.allocator.fitsInPage(entry), false);
    });
  });
});
