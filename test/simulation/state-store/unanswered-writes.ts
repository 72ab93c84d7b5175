/** Writes of transactions whose responses were lost, and who has read them. */
import type { Transaction } from './key-value-store.js';

/** Counts how often a controller reads what another wrote without getting a response. */
export class UnansweredWrites {
  /** The hosts that wrote and got no response, by key. */
  private readonly writers = new Map<string, string>();
  /** How often another host has read such a key. */
  readByOthers = 0;

  /** The transaction was committed, and its sender is not told. */
  record(writer: string, transaction: Transaction): void {
    for (const { set } of transaction.writes ?? [])
      if (set !== undefined) this.writers.set(set, writer);
  }

  /** The host is shown the key, or names it in a condition. */
  recordRead(reader: string, key: string): void {
    const writer = this.writers.get(key);
    if (writer !== undefined && writer !== reader) this.readByOthers++;
  }
}
