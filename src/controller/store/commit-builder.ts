/** Builds one transaction of the leader's records within the limits of the state store. */
import type { Condition } from '../wire/state.js';
import { MAX_CONDITIONS_PER_WRITE } from './batch.js';
import { moveToPage, storedSize, type Page, type RecordEntry } from './page.js';
import { tokenReserve } from './rate-budget.js';
import type { RecordStoreContext } from './record-store-context.js';
import type { PendingTransaction } from './transaction-queue.js';

/**
 * Largest size of a transaction, in bytes of JSON (`storedSize`). It is below the store's limit of 64 KiB
 * to leave space for the encoding.
 */
const MAX_TRANSACTION_SIZE = 56 * 1024;

/**
 * Upper bound of the size of the fencing condition and of the encoding around the lists, in bytes of JSON.
 */
const FRAME_SIZE = 512;

/** Pages and transactions that are written together in one transaction of the state store. */
export interface Commit {
  conditions: Condition[];
  pages: Page[];
  /**
   * Entries in `pages` with a newest value that has not been sent yet, or has to be sent again after a
   * failure.
   */
  entries: RecordEntry[];
  transactions: PendingTransaction[];
}

/** Adds pages and transactions to a commit while the limits and write tokens allow it. */
export class CommitBuilder {
  private readonly maxWrites: number;
  private readonly conditions: Condition[];
  private readonly pages = new Set<Page>();
  private readonly entries = new Set<RecordEntry>();
  private readonly transactions: PendingTransaction[] = [];
  private writeCount = 0;
  private size = FRAME_SIZE;

  /**
   * @param context - the parts of the record store
   * @param fencingCondition - condition that the leader key is unchanged
   */
  constructor(
    private readonly context: RecordStoreContext,
    fencingCondition: Condition,
  ) {
    this.maxWrites = context.client.budget.limits.current.txnOps;
    this.conditions = [fencingCondition];
  }

  /** Whether nothing has been added. */
  get isEmpty(): boolean {
    return this.writeCount === 0;
  }

  /** Returns whether the entry has been added. */
  has(entry: RecordEntry): boolean {
    return this.entries.has(entry);
  }

  /**
   * Adds an entry. If its page is not in the commit yet, adds the page too, provided that `mayAddPage` is true.
   * Returns false if the entry does not fit, or if its page is not in the commit and `mayAddPage` is false.
   */
  tryAddEntry(entry: RecordEntry, mayAddPage: boolean): boolean {
    const page = this.context.pages.allocator.targetPage(entry);
    const growth = entry.page === page ? 0 : entry.size;
    if (this.pages.has(page)) {
      if (this.size + growth > MAX_TRANSACTION_SIZE) return false;
    } else {
      const isOnlyPart = this.context.isolation.scope === 'everything' || this.isEmpty;
      if (!mayAddPage || !isOnlyPart || !this.fits(1, 1, page.size + growth)) return false;
      this.addPage(page);
    }
    this.size += growth;
    moveToPage(entry, page);
    this.entries.add(entry);
    return true;
  }

  private addPage(page: Page): void {
    this.pages.add(page);
    this.writeCount++;
    this.size += page.size;
    this.conditions.push({ key: page.key, version: page.version });
    this.context.client.budget.writeTokens.forceTake(1);
  }

  /**
   * Moves as many transactions as fit, at most `maxCount`, from the front of the queue to the commit. Gives up
   * those that no commit can contain, which would hold up the others.
   */
  addTransactions(maxCount: number): void {
    const { client, transactions: queue } = this.context;
    while (this.transactions.length < maxCount) {
      const transaction = queue.peek();
      if (transaction === undefined) return;
      const { conditions, writes } = transaction;
      const size = storedSize([conditions, writes]);
      if (this.exceedsLimits(transaction, size)) {
        queue.shift();
        queue.giveUp(transaction);
        continue;
      }
      if (!this.fits(writes.length, conditions.length, size)) return;
      queue.shift();
      this.transactions.push(transaction);
      client.budget.writeTokens.forceTake(writes.length);
      this.writeCount += writes.length;
      this.size += size;
      this.conditions.push(...conditions);
    }
  }

  /** Whether the transaction exceeds the limits even if the commit contains nothing else. */
  private exceedsLimits({ conditions, writes }: PendingTransaction, size: number): boolean {
    const { maxValueSize } = this.context.client.budget.limits;
    return (
      writes.length > this.maxWrites ||
      conditions.length + 1 > MAX_CONDITIONS_PER_WRITE * this.maxWrites ||
      FRAME_SIZE + size > MAX_TRANSACTION_SIZE ||
      writes.some((write) => 'put' in write && storedSize(write.value) > maxValueSize)
    );
  }

  private fits(writeCount: number, conditionCount: number, size: number): boolean {
    return (
      this.writeCount + writeCount <= this.maxWrites &&
      this.conditions.length + conditionCount <= MAX_CONDITIONS_PER_WRITE * this.maxWrites &&
      this.size + size <= MAX_TRANSACTION_SIZE &&
      this.context.client.budget.writeTokens.waitMs(writeCount, tokenReserve.records) === 0
    );
  }

  /**
   * Returns the commit. A page is written with the newest values of all its entries, so all entries with
   * unsent values are added.
   */
  build(): Commit {
    for (const page of this.pages)
      for (const entry of page.entries) if (entry.dirty) this.entries.add(entry);
    return {
      conditions: this.conditions,
      pages: [...this.pages],
      entries: [...this.entries],
      transactions: this.transactions,
    };
  }
}
