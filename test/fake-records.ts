import type { RecordStore } from '../src/controller/store/record-store.js';

/** A record store for the tests of single modules: what is set is stored at once. */
export function immediateRecords(initial: Record<string, unknown> = {}): RecordStore {
  const values = new Map(Object.entries(initial));
  const records: Pick<RecordStore, 'has' | 'list' | 'set' | 'transact'> = {
    has: (key) => values.has(key),
    *list(prefix) {
      for (const [key, value] of [...values]) if (key.startsWith(prefix)) yield { key, value };
    },
    set: (key, value, _urgency, onStored) => {
      if (value === undefined) values.delete(key);
      else values.set(key, value);
      onStored?.();
    },
    transact: () => undefined,
  };
  return records as RecordStore;
}
