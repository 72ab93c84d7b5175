/**
 * Tracks the keys written by transactions whose responses were lost, and reads of those keys by
 * other controllers.
 */
import type { Transaction } from './key-value-store.js';

/** Counts the reads of keys whose writer got no response. Only reads by other controllers count. */
export class UnansweredWrites {
  /** By key, the last host that wrote the key without getting a response. */
  private readonly writers = new Map<string, string>();
  /** Number of reads of keys whose writer got no response. Only reads by other hosts count. */
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
