/** Combines entries of several callers into one transaction. */
import type { Condition, Write } from '../wire/state.js';
import type { TransactionResult } from './results.js';

/** Writes of one caller. All are carried out if all conditions hold, and none otherwise. */
export interface BatchEntry {
  conditions: Condition[];
  writes: Write[];
  /**
   * Called when the entry is sent. A request that arrives later cannot share the entry's outcome and needs a
   * new entry.
   */
  onSent?: () => void;
  /** Called once with the outcome. */
  done: (result: TransactionResult) => void;
}

/**
 * Largest total size of the entries of a transaction, in bytes of JSON (`storedSize`). It is below the
 * store's limit of 64 KiB to leave space for the encoding.
 */
const MAX_TRANSACTION_SIZE = 60 * 1024;

/**
 * Largest number of conditions in a transaction, as a multiple of the largest number of writes that the store
 * accepts in a transaction.
 */
export const MAX_CONDITIONS_PER_WRITE = 4;

/** A transaction to which entries are added. */
export class Batch<Entry extends BatchEntry> {
  readonly entries: Entry[] = [];
  readonly conditions: Condition[] = [];
  readonly writes: Write[] = [];
  private readonly keys = new Set<string>();
  private size = 0;

  /** @param maxWrites - largest number of writes that the store accepts in a transaction */
  constructor(private readonly maxWrites: number) {}

  /** Whether no entry has been added. */
  get isEmpty(): boolean {
    return this.entries.length === 0;
  }

  /**
   * Returns whether an entry of this size can be added: the transaction stays within its limits, and none of
   * its entries has a condition on one of the same keys.
   */
  fits(entry: Entry, size: number): boolean {
    const conditionCount = this.conditions.length + entry.conditions.length;
    return (
      conditionCount <= MAX_CONDITIONS_PER_WRITE * this.maxWrites &&
      this.writes.length + entry.writes.length <= this.maxWrites &&
      this.size + size <= MAX_TRANSACTION_SIZE &&
      // Two entries with conditions on the same key would share their outcome; the second needs another batch.
      !entry.conditions.some(({ key }) => this.keys.has(key))
    );
  }

  /** Adds an entry. It must fit, unless it is the first entry, which may have any size. */
  add(entry: Entry, size: number): void {
    this.entries.push(entry);
    this.conditions.push(...entry.conditions);
    this.writes.push(...entry.writes);
    for (const { key } of entry.conditions) this.keys.add(key);
    this.size += size;
  }
}
