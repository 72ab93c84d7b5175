import type { RecordStore } from '../src/controller/store/record-store.js';

/** A fake record store for unit tests, which stores records as soon as they are set. */
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
