/** Gathers one transaction of the leader, within the limits of the state service. */
import type { Condition } from '../wire/state.js';
import { MAX_CONDITIONS_PER_WRITE } from './batch.js';
import { tokenReserve } from './rate-budget.js';
import type { RecordEntry, Page } from './page.js';
import { storedSize } from './page-table.js';
import type { RecordStoreContext } from './record-store-context.js';
import type { PendingTransaction } from './transaction-queue.js';

/** Bytes of a transaction, with room for its frame below the service's 64 KiB. */
const MAX_TRANSACTION_BYTES = 56 * 1024;

/** Bytes of the leader's fence and of what surrounds the lists. */
const FRAME_BYTES = 512;

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
  private readonly targets = new Set<Page>();
  private readonly entries = new Set<RecordEntry>();
  private readonly transactions: PendingTransaction[] = [];
  private writes = 0;
  private bytes = FRAME_BYTES;

  /** `fence`: the condition that the leader's key is still its own. */
  constructor(
    private readonly context: RecordStoreContext,
    fence: Condition,
  ) {
    this.maxWrites = context.client.budget.limits.current.txnOps;
    this.conditions = [fence];
  }

  /** Nothing has been added. */
  get isEmpty(): boolean {
    return this.writes === 0;
  }

  /** Whether the entry has been added. */
  has(entry: RecordEntry): boolean {
    return this.entries.has(entry);
  }

  /** False: no room is left for the entry. Without `newPages` it may only join a page of the commit. */
  tryAddEntry(entry: RecordEntry, newPages: boolean): boolean {
    const target = this.context.pages.targetPage(entry);
    const growth = entry.page === target ? 0 : entry.bytes;
    if (this.targets.has(target)) {
      if (this.bytes + growth > MAX_TRANSACTION_BYTES) return false;
    } else {
      if (!newPages || !this.fits(1, 1, target.bytes + growth)) return false;
      this.addPage(target);
    }
    this.bytes += growth;
    this.context.pages.move(entry, target);
    this.entries.add(entry);
    return true;
  }

  private addPage(page: Page): void {
    this.targets.add(page);
    this.writes++;
    this.bytes += page.bytes;
    this.conditions.push({ key: page.key, version: page.version });
    this.context.client.budget.writeTokens.forceTake(1);
  }

  /** Takes transactions from the queue, as many as there is room for. */
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
      this.writes += writes.length;
      this.bytes += size;
      this.conditions.push(...conditions);
    }
  }

  private fits(writes: number, conditions: number, bytes: number): boolean {
    return (
      this.writes + writes <= this.maxWrites &&
      this.conditions.length + conditions <= MAX_CONDITIONS_PER_WRITE * this.maxWrites &&
      this.bytes + bytes <= MAX_TRANSACTION_BYTES &&
      this.context.client.budget.writeTokens.waitMs(writes, tokenReserve.records) === 0
    );
  }

  /** The commit, with all that its pages carry along. */
  build(): Commit {
    // A page goes out with the newest values of all its entries.
    for (const page of this.targets)
      for (const entry of page.entries) if (entry.dirty) this.entries.add(entry);
    return {
      conditions: this.conditions,
      pages: [...this.targets],
      entries: [...this.entries],
      transactions: this.transactions,
    };
  }
}
