/** Writes of transactions whose answers were lost, and who has read them. */
import type { Transaction } from './key-value-store.js';

/** Counts how often a node reads what another wrote without getting an answer. */
export class UnansweredWrites {
  /** By key: the node that wrote it and got no answer. */
  private readonly writers = new Map<string, string>();
  /** How often another node has read such a key. */
  readByOthers = 0;

  /** The transaction was carried out, and its sender is not told. */
  record(writer: string, transaction: Transaction): void {
    for (const { set } of transaction.writes ?? [])
      if (set !== undefined) this.writers.set(set, writer);
  }

  /** The node is shown the key, or names it in a condition. */
  wasRead(by: string, key: string): void {
    const writer = this.writers.get(key);
    if (writer !== undefined && writer !== by) this.readByOthers++;
  }
}
