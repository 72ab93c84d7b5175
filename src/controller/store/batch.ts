/** Entries of several callers that share one transaction. */
import type { Condition, Write } from '../wire/state.js';
import type { TransactionResult } from './results.js';

/** Writes of one caller, all or none, if the conditions hold. */
export interface BatchEntry {
  conditions: Condition[];
  writes: Write[];
  /** The entry is on its way: whoever asks from now on must ask anew. */
  onSent?: () => void;
  done: (r: TransactionResult) => void;
}

/** Bytes of a transaction, with room for its frame below the service's 64 KiB. */
const MAX_TRANSACTION_BYTES = 60 * 1024;

/** The service takes this many conditions for each write of the largest transaction. */
export const MAX_CONDITIONS_PER_WRITE = 4;

/** One transaction as it is gathered. */
export class Batch<Entry extends BatchEntry> {
  readonly entries: Entry[] = [];
  readonly conditions: Condition[] = [];
  readonly writes: Write[] = [];
  private readonly keys = new Set<string>();
  private bytes = 0;

  /** `maxWrites`: what the service takes in one transaction. */
  constructor(private readonly maxWrites: number) {}

  /** Nothing has been added. */
  get isEmpty(): boolean {
    return this.entries.length === 0;
  }

  /** Whether an entry of this size keeps the transaction within the limits. */
  fits(entry: Entry, bytes: number): boolean {
    const conditions = this.conditions.length + entry.conditions.length;
    return (
      conditions <= MAX_CONDITIONS_PER_WRITE * this.maxWrites &&
      this.writes.length + entry.writes.length <= this.maxWrites &&
      this.bytes + bytes <= MAX_TRANSACTION_BYTES &&
      // Two entries on one key would share their fate: the second waits for the next batch.
      !entry.conditions.some(({ key }) => this.keys.has(key))
    );
  }

  /** Adds an entry that fits, or the first. */
  add(entry: Entry, bytes: number): void {
    this.entries.push(entry);
    this.conditions.push(...entry.conditions);
    this.writes.push(...entry.writes);
    for (const { key } of entry.conditions) this.keys.add(key);
    this.bytes += bytes;
  }
}
