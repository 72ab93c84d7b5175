/**
 * Tracks the keys written by transactions whose responses were lost, and reads of those keys by
 * other controllers.
 */
import type { Transaction } from './key-value-store.js';

/**
 * Counts how often a controller reads a key that another controller wrote without getting a
 * response.
 */
export class UnansweredWrites {
  /** The host that last wrote a key without getting a response, by key. */
  private readonly writers = new Map<string, string>();
  /**
   * Number of times that a host read a key that another host had written without getting a
   * response.
   */
  readByOthers = 0;

  /** Records a transaction that was committed but whose response was lost. */
  record(writer: string, transaction: Transaction): void {
    for (const { set } of transaction.writes ?? [])
      if (set !== undefined) this.writers.set(set, writer);
  }

  /** Records that a host has read the key, received a change of it, or named it in a condition. */
  recordRead(reader: string, key: string): void {
    const writer = this.writers.get(key);
    if (writer !== undefined && writer !== reader) this.readByOthers++;
  }
}
