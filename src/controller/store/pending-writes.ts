/** Records that were set and are not stored yet, and who waits for them. */
import type { Entry } from './page.js';

/**
 * `lazy` may wait to be written together with others, `urgent` goes out as soon as there are tokens,
 * and `first` before all that.
 */
export type Urgency = 'lazy' | 'urgent' | 'first';

/** Called once a value, or a newer one of the same key, is stored. */
export type StoredCallback = () => void;

/** The callbacks that wait for the values of a commit. */
export type Waiters = Map<Entry, StoredCallback[]>;

/** Entries whose newest value has not been sent, by urgency, with the callbacks that wait for them. */
export class PendingWrites {
  /** All that does not wait for others, `first` included. */
  readonly urgent = new Set<Entry>();
  /** Of the urgent ones, those that go before the others. */
  readonly first = new Set<Entry>();
  readonly lazy = new Set<Entry>();
  private readonly waiters: Waiters = new Map();

  /** Entries that wait to be sent. */
  get size(): number {
    return this.urgent.size + this.lazy.size;
  }

  /** Queues an entry; one that is urgent already stays so. */
  add(entry: Entry, urgency: Urgency): void {
    if (urgency === 'first') this.first.add(entry);
    if (urgency === 'lazy') {
      if (!this.urgent.has(entry)) this.lazy.add(entry);
      return;
    }
    this.urgent.add(entry);
    this.lazy.delete(entry);
  }

  /** The entry is not to be sent, or has been. */
  remove(entry: Entry): void {
    this.urgent.delete(entry);
    this.first.delete(entry);
    this.lazy.delete(entry);
  }

  /** Calls back once the entry's present value is stored. */
  wait(entry: Entry, stored: StoredCallback): void {
    const list = this.waiters.get(entry);
    if (list === undefined) this.waiters.set(entry, [stored]);
    else list.push(stored);
  }

  /** Marks the entries as sent, and hands over the callbacks that wait for what is sent. */
  startFlight(entries: Entry[]): Waiters {
    const waiting: Waiters = new Map();
    for (const entry of entries) {
      this.remove(entry);
      entry.dirty = false;
      entry.inFlight = true;
      const list = this.waiters.get(entry);
      if (list !== undefined) waiting.set(entry, list);
      this.waiters.delete(entry);
    }
    return waiting;
  }

  /** What was sent is stored. */
  stored(entries: Entry[], waiting: Waiters): void {
    for (const entry of entries) {
      for (const stored of waiting.get(entry) ?? []) stored();
      // Set once more to the same value while it was on its way.
      if (entry.dirty) continue;
      const later = this.waiters.get(entry);
      this.waiters.delete(entry);
      for (const stored of later ?? []) stored();
    }
  }

  /** What was sent may not be stored: it is urgent again, with those who waited for it. */
  putBack(entries: Entry[], waiting: Waiters): void {
    for (const entry of entries) {
      entry.dirty = true;
      this.urgent.add(entry);
      const list = waiting.get(entry);
      if (list === undefined) continue;
      this.waiters.set(entry, [...list, ...(this.waiters.get(entry) ?? [])]);
    }
  }
}
