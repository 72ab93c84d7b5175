import type { RecordStore } from '../src/controller/store/record-store.js';

/** Records for the tests of single slices: what is set is stored at once. */
export function immediateRecords(before: Record<string, unknown> = {}): RecordStore {
  const stored = new Map(Object.entries(before));
  const records: Pick<RecordStore, 'has' | 'list' | 'set' | 'transact'> = {
    has: (key) => stored.has(key),
    *list(prefix) {
      for (const [key, value] of [...stored]) if (key.startsWith(prefix)) yield { key, value };
    },
    set: (key, value, _urgent, done) => {
      if (value === undefined) stored.delete(key);
      else stored.set(key, value);
      done?.();
    },
    transact: () => undefined,
  };
  return records as RecordStore;
}
