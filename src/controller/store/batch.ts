/** Entries of several callers that share one transaction. */
import type { Condition, Write } from '../wire/state.js';
import type { TransactionResult } from './results.js';

/** Writes of one caller, carried out all or none, if the conditions hold. */
export interface BatchEntry {
  conditions: Condition[];
  writes: Write[];
  /** Called as the entry is sent: a later request needs an entry of its own. */
  onSent?: () => void;
  /** Called once with the outcome. */
  done: (result: TransactionResult) => void;
}

/** Size of a transaction, which leaves space for its frame below the store's 64 KiB. */
const MAX_TRANSACTION_SIZE = 60 * 1024;

/** The store takes so many conditions for each write of the largest transaction. */
export const MAX_CONDITIONS_PER_WRITE = 4;

/** One transaction as it is gathered. */
export class Batch<Entry extends BatchEntry> {
  readonly entries: Entry[] = [];
  readonly conditions: Condition[] = [];
  readonly writes: Write[] = [];
  private readonly keys = new Set<string>();
  private size = 0;

  /** `maxWrites`: the most writes that the store takes in one transaction. */
  constructor(private readonly maxWrites: number) {}

  /** No entry has been added. */
  get isEmpty(): boolean {
    return this.entries.length === 0;
  }

  /** Whether an entry of this size keeps the transaction within the limits. */
  fits(entry: Entry, size: number): boolean {
    const conditionCount = this.conditions.length + entry.conditions.length;
    return (
      conditionCount <= MAX_CONDITIONS_PER_WRITE * this.maxWrites &&
      this.writes.length + entry.writes.length <= this.maxWrites &&
      this.size + size <= MAX_TRANSACTION_SIZE &&
      // Two entries on one key would share their outcome: the second waits for the next batch.
      !entry.conditions.some(({ key }) => this.keys.has(key))
    );
  }

  /** Adds an entry that fits, or the first, whatever its size. */
  add(entry: Entry, size: number): void {
    this.entries.push(entry);
    this.conditions.push(...entry.conditions);
    this.writes.push(...entry.writes);
    for (const { key } of entry.conditions) this.keys.add(key);
    this.size += size;
  }
}
