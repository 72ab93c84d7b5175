/** Records that were set and are not stored yet, with the callbacks to call once they are stored. */
import type { RecordEntry } from './page.js';

/**
 * How soon a record is written: a `deferrable` one may wait to be written together with others, an
 * `urgent` one is written as soon as there are tokens, and an `immediate` one before all others.
 */
export type WritePriority = 'deferrable' | 'urgent' | 'immediate';

/** Called when a value is stored, or when a newer value of the same key is stored. */
export type StoredCallback = () => void;

/** For each entry in a commit: the callbacks to call once the value that the commit writes is stored. */
export type StoredCallbacks = Map<RecordEntry, StoredCallback[]>;

/**
 * Holds the entries whose newest value has not been sent, by priority, and the callbacks of values that are
 * not stored yet.
 */
export class PendingWrites {
  /** All entries that are not deferrable, including the immediate ones. */
  readonly urgent = new Set<RecordEntry>();
  readonly immediate = new Set<RecordEntry>();
  readonly deferrable = new Set<RecordEntry>();
  /** Entries that exceed the largest value that may be written now. */
  private readonly oversized = new Set<RecordEntry>();
  private readonly callbacks: StoredCallbacks = new Map();

  /** Number of entries that are waiting to be sent. */
  get size(): number {
    return this.urgent.size + this.deferrable.size;
  }

  /** Queues an entry. If it is queued already, its priority may be raised but is never lowered. */
  add(entry: RecordEntry, priority: WritePriority): void {
    this.oversized.delete(entry);
    if (priority === 'immediate') this.immediate.add(entry);
    if (priority === 'deferrable') {
      if (!this.urgent.has(entry)) this.deferrable.add(entry);
      return;
    }
    this.urgent.add(entry);
    this.deferrable.delete(entry);
  }

  /** Removes an entry that has been sent or cannot be sent. */
  remove(entry: RecordEntry): void {
    this.urgent.delete(entry);
    this.immediate.delete(entry);
    this.deferrable.delete(entry);
  }

  /** Sets an entry aside that exceeds the largest value, until `readmit` finds that it fits. */
  setAside(entry: RecordEntry): void {
    this.remove(entry);
    this.oversized.add(entry);
  }

  /** Queues the entries that were set aside and that fit now, because the largest value has grown. */
  readmit(fits: (entry: RecordEntry) => boolean): void {
    for (const entry of this.oversized)
      if (fits(entry)) {
        this.oversized.delete(entry);
        this.urgent.add(entry);
      }
  }

  /** Adds a callback to call once the entry's current value or a newer one is stored. */
  addStoredCallback(entry: RecordEntry, callback: StoredCallback): void {
    const callbacks = this.callbacks.get(entry);
    if (callbacks === undefined) this.callbacks.set(entry, [callback]);
    else callbacks.push(callback);
  }

  /** Records that the entries are sent with their current values. Returns the callbacks of these values. */
  markSent(entries: readonly RecordEntry[]): StoredCallbacks {
    const sentCallbacks: StoredCallbacks = new Map();
    for (const entry of entries) {
      this.remove(entry);
      entry.dirty = false;
      entry.inFlight = true;
      const callbacks = this.callbacks.get(entry);
      if (callbacks !== undefined) sentCallbacks.set(entry, callbacks);
      this.callbacks.delete(entry);
    }
    return sentCallbacks;
  }

  /** Records that the sent values are stored, and calls their callbacks. */
  markStored(entries: readonly RecordEntry[], sentCallbacks: StoredCallbacks): void {
    for (const entry of entries) {
      for (const callback of sentCallbacks.get(entry) ?? []) callback();
      if (entry.dirty) continue;
      // Callbacks that were added for the same value while it was in flight have to be called as well.
      const newerCallbacks = this.callbacks.get(entry);
      this.callbacks.delete(entry);
      for (const callback of newerCallbacks ?? []) callback();
    }
  }

  /** Queues sent entries again as urgent, since they may not be stored. Restores their callbacks. */
  requeue(entries: readonly RecordEntry[], sentCallbacks: StoredCallbacks): void {
    for (const entry of entries) {
      entry.dirty = true;
      this.urgent.add(entry);
      const callbacks = sentCallbacks.get(entry);
      if (callbacks === undefined) continue;
      this.callbacks.set(entry, [...callbacks, ...(this.callbacks.get(entry) ?? [])]);
    }
  }
}
