/**
 * Tracks writes of transactions whose responses were lost, and reads of them by other controllers.
 */
import type { Transaction } from './key-value-store.js';

/** Counts the reads by a controller of a write for which another controller got no response. */
export class UnansweredWrites {
  /** The host that last wrote a key without getting a response, by key. */
  private readonly writers = new Map<string, string>();
  /** Number of reads of a key in `writers` by a host other than the writer. */
  readByOthers = 0;

  /** Records a transaction that was committed but whose response was lost. */
  record(writer: string, transaction: Transaction): void {
    for (const { set } of transaction.writes ?? [])
      if (set !== undefined) this.writers.set(set, writer);
  }

  /** Records that a host has received the key or named it in a condition. */
  recordRead(reader: string, key: string): void {
    const writer = this.writers.get(key);
    if (writer !== undefined && writer !== reader) this.readByOthers++;
  }
}
