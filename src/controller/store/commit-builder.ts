/** Gathers one transaction of the leader's records, within the limits of the state store. */
import type { Condition } from '../wire/state.js';
import { MAX_CONDITIONS_PER_WRITE } from './batch.js';
import { moveToPage, storedSize, type Page, type RecordEntry } from './page.js';
import { tokenReserve } from './rate-budget.js';
import type { RecordStoreContext } from './record-store-context.js';
import type { PendingTransaction } from './transaction-queue.js';

/** Size of a transaction, which leaves space for its frame below the store's 64 KiB. */
const MAX_TRANSACTION_SIZE = 56 * 1024;

/** Size of the fencing condition and of what surrounds the lists. */
const FRAME_SIZE = 512;

/** What is written in one transaction. */
export interface Commit {
  conditions: Condition[];
  pages: Page[];
  /** Entries of the pages whose newest value is sent for the first time, or again. */
  entries: RecordEntry[];
  transactions: PendingTransaction[];
}

/** Adds pages and transactions to a commit for as long as limits and write tokens allow. */
export class CommitBuilder {
  private readonly maxWrites: number;
  private readonly conditions: Condition[];
  private readonly pages = new Set<Page>();
  private readonly entries = new Set<RecordEntry>();
  private readonly transactions: PendingTransaction[] = [];
  private writeCount = 0;
  private size = FRAME_SIZE;

  /** `fencingCondition`: the leader's key is still its own. */
  constructor(
    private readonly context: RecordStoreContext,
    fencingCondition: Condition,
  ) {
    this.maxWrites = context.client.budget.limits.current.txnOps;
    this.conditions = [fencingCondition];
  }

  /** Nothing has been added. */
  get isEmpty(): boolean {
    return this.writeCount === 0;
  }

  /** Whether the entry has been added. */
  has(entry: RecordEntry): boolean {
    return this.entries.has(entry);
  }

  /** False: the entry does not fit. Without `mayAddPage` it may only join a page of the commit. */
  tryAddEntry(entry: RecordEntry, mayAddPage: boolean): boolean {
    const page = this.context.pages.allocator.targetPage(entry);
    const growth = entry.page === page ? 0 : entry.size;
    if (this.pages.has(page)) {
      if (this.size + growth > MAX_TRANSACTION_SIZE) return false;
    } else {
      if (!mayAddPage || !this.fits(1, 1, page.size + growth)) return false;
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

  /** Takes transactions from the front of the queue, as many as fit. */
  addTransactions(): void {
    const { client, transactions: queue } = this.context;
    for (;;) {
      const transaction = queue.peek();
      if (transaction === undefined) return;
      const { conditions, writes } = transaction;
      const size = storedSize([conditions, writes]);
      if (!this.fits(writes.length, conditions.length, size)) return;
      queue.shift();
      this.transactions.push(transaction);
      client.budget.writeTokens.forceTake(writes.length);
      this.writeCount += writes.length;
      this.size += size;
      this.conditions.push(...conditions);
    }
  }

  private fits(writeCount: number, conditionCount: number, size: number): boolean {
    return (
      this.writeCount + writeCount <= this.maxWrites &&
      this.conditions.length + conditionCount <= MAX_CONDITIONS_PER_WRITE * this.maxWrites &&
      this.size + size <= MAX_TRANSACTION_SIZE &&
      this.context.client.budget.writeTokens.waitMs(writeCount, tokenReserve.records) === 0
    );
  }

  /** The commit. A page is written with the newest values of all its entries, so these are added. */
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
