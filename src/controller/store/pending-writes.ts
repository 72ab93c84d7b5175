/** Records that were set and are not stored yet, and who waits for them. */
import type { RecordEntry } from './page.js';

/**
 * `lazy` may wait to be written together with others, `urgent` goes out as soon as there are tokens,
 * and `first` before all that.
 */
export type WritePriority = 'lazy' | 'urgent' | 'first';

/** Called once a value, or a newer one of the same key, is stored. */
export type StoredCallback = () => void;

/** The callbacks that wait for the values of a commit. */
export type StoredCallbacks = Map<RecordEntry, StoredCallback[]>;

/** Entries whose newest value has not been sent, by urgency, with the callbacks that wait for them. */
export class PendingWrites {
  /** All that does not wait for others, `first` included. */
  readonly urgent = new Set<RecordEntry>();
  /** Of the urgent ones, those that go before the others. */
  readonly immediate = new Set<RecordEntry>();
  readonly deferrable = new Set<RecordEntry>();
  private readonly callbacks: StoredCallbacks = new Map();

  /** Entries that wait to be sent. */
  get size(): number {
    return this.urgent.size + this.deferrable.size;
  }

  /** Queues an entry; one that is urgent already stays so. */
  add(entry: RecordEntry, urgency: WritePriority): void {
    if (urgency === 'first') this.immediate.add(entry);
    if (urgency === 'lazy') {
      if (!this.urgent.has(entry)) this.deferrable.add(entry);
      return;
    }
    this.urgent.add(entry);
    this.deferrable.delete(entry);
  }

  /** The entry is not to be sent, or has been. */
  remove(entry: RecordEntry): void {
    this.urgent.delete(entry);
    this.immediate.delete(entry);
    this.deferrable.delete(entry);
  }

  /** Calls back once the entry's present value is stored. */
  whenStored(entry: RecordEntry, stored: StoredCallback): void {
    const list = this.callbacks.get(entry);
    if (list === undefined) this.callbacks.set(entry, [stored]);
    else list.push(stored);
  }

  /** Marks the entries as sent, and hands over the callbacks that wait for what is sent. */
  markSent(entries: RecordEntry[]): StoredCallbacks {
    const waiting: StoredCallbacks = new Map();
    for (const entry of entries) {
      this.remove(entry);
      entry.dirty = false;
      entry.inFlight = true;
      const list = this.callbacks.get(entry);
      if (list !== undefined) waiting.set(entry, list);
      this.callbacks.delete(entry);
    }
    return waiting;
  }

  /** What was sent is stored. */
  markStored(entries: RecordEntry[], waiting: StoredCallbacks): void {
    for (const entry of entries) {
      for (const stored of waiting.get(entry) ?? []) stored();
      // Set once more to the same value while it was on its way.
      if (entry.dirty) continue;
      const later = this.callbacks.get(entry);
      this.callbacks.delete(entry);
      for (const stored of later ?? []) stored();
    }
  }

  /** What was sent may not be stored: it is urgent again, with those who waited for it. */
  putBack(entries: RecordEntry[], waiting: StoredCallbacks): void {
    for (const entry of entries) {
      entry.dirty = true;
      this.urgent.add(entry);
      const list = waiting.get(entry);
      if (list === undefined) continue;
      this.callbacks.set(entry, [...list, ...(this.callbacks.get(entry) ?? [])]);
    }
  }
}
