/** Records that were set and are not stored yet, and who waits for them. */
import type { RecordEntry } from './page.js';

/**
 * How soon a record is written: `deferrable` may wait to be written together with others, `urgent` is
 * written as soon as there are tokens, and `immediate` before all others.
 */
export type WritePriority = 'deferrable' | 'urgent' | 'immediate';

/** Called once a value, or a newer one of the same key, is stored. */
export type StoredCallback = () => void;

/** By entry, the callbacks that wait for the value that a commit writes. */
export type StoredCallbacks = Map<RecordEntry, StoredCallback[]>;

/** Entries whose newest value has not been sent, by priority, with the callbacks that wait for them. */
export class PendingWrites {
  /** All that do not wait for others, the immediate ones included. */
  readonly urgent = new Set<RecordEntry>();
  readonly immediate = new Set<RecordEntry>();
  readonly deferrable = new Set<RecordEntry>();
  private readonly callbacks: StoredCallbacks = new Map();

  /** Number of entries that wait to be sent. */
  get size(): number {
    return this.urgent.size + this.deferrable.size;
  }

  /** Queues an entry. A priority is raised, but never lowered. */
  add(entry: RecordEntry, priority: WritePriority): void {
    if (priority === 'immediate') this.immediate.add(entry);
    if (priority === 'deferrable') {
      if (!this.urgent.has(entry)) this.deferrable.add(entry);
      return;
    }
    this.urgent.add(entry);
    this.deferrable.delete(entry);
  }

  /** Removes an entry that has been sent, or can't be. */
  remove(entry: RecordEntry): void {
    this.urgent.delete(entry);
    this.immediate.delete(entry);
    this.deferrable.delete(entry);
  }

  /** Calls back once the entry's present value, or a newer one, is stored. */
  addStoredCallback(entry: RecordEntry, callback: StoredCallback): void {
    const callbacks = this.callbacks.get(entry);
    if (callbacks === undefined) this.callbacks.set(entry, [callback]);
    else callbacks.push(callback);
  }

  /** The entries are sent with their present values. Returns the callbacks that wait for these. */
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

  /** What was sent is stored: calls back. */
  markStored(entries: readonly RecordEntry[], sentCallbacks: StoredCallbacks): void {
    for (const entry of entries) {
      for (const callback of sentCallbacks.get(entry) ?? []) callback();
      if (entry.dirty) continue;
      // Set again while in flight, to the same value: that is stored now, too.
      const newerCallbacks = this.callbacks.get(entry);
      this.callbacks.delete(entry);
      for (const callback of newerCallbacks ?? []) callback();
    }
  }

  /** What was sent may not be stored: it is urgent again, with the callbacks that waited for it first. */
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
