/** Gathers one transaction of the leader, within the limits of the state service. */
import type { Condition } from '../wire/state.js';
import { CONDITIONS_PER_WRITE } from './batch.js';
import { tokenReserve } from './client.js';
import type { Entry, Page } from './page.js';
import { sizeOf } from './pages.js';
import type { RecordsContext } from './records-context.js';
import type { PendingTransaction } from './transaction-queue.js';

/** Bytes of a transaction, with room for its frame below the service's 64 KiB. */
const TRANSACTION_BYTES = 56 * 1024;

/** Bytes of the leader's fence and of what surrounds the lists. */
const FRAME_BYTES = 512;

/** What is written in one transaction. */
export interface Commit {
  conditions: Condition[];
  pages: Page[];
  /** Entries of the pages whose newest value is sent for the first time, or again. */
  entries: Entry[];
  transactions: PendingTransaction[];
}

/** Adds pages and transactions to a commit for as long as limits and write tokens allow. */
export class CommitBuilder {
  private readonly maxWrites: number;
  private readonly conditions: Condition[];
  private readonly targets = new Set<Page>();
  private readonly entries = new Set<Entry>();
  private readonly transactions: PendingTransaction[] = [];
  private writes = 0;
  private bytes = FRAME_BYTES;

  /** `fence`: the condition that the leader's key is still its own. */
  constructor(
    private readonly context: RecordsContext,
    fence: Condition,
  ) {
    this.maxWrites = context.client.limits.inForce.txnOps;
    this.conditions = [fence];
  }

  /** Nothing has been added. */
  get empty(): boolean {
    return this.writes === 0;
  }

  /** Whether the entry has been added. */
  has(entry: Entry): boolean {
    return this.entries.has(entry);
  }

  /** False: no room is left for the entry. Without `newPages` it may only join a page of the commit. */
  addEntry(entry: Entry, newPages: boolean): boolean {
    const target = this.context.pages.target(entry);
    const growth = entry.page === target ? 0 : entry.bytes;
    if (this.targets.has(target)) {
      if (this.bytes + growth > TRANSACTION_BYTES) return false;
    } else {
      if (!newPages || !this.hasRoom(1, 1, target.bytes + growth)) return false;
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
    this.context.client.writeTokens.force(1);
  }

  /** Takes transactions from the queue, as many as there is room for. */
  addTransactions(): void {
    const { client, transactions: queue } = this.context;
    for (;;) {
      const transaction = queue.peek();
      if (transaction === undefined) return;
      const { conditions, writes } = transaction;
      const size = sizeOf([conditions, writes]);
      if (!this.hasRoom(writes.length, conditions.length, size)) return;
      queue.shift();
      this.transactions.push(transaction);
      client.writeTokens.force(writes.length);
      this.writes += writes.length;
      this.bytes += size;
      this.conditions.push(...conditions);
    }
  }

  private hasRoom(writes: number, conditions: number, bytes: number): boolean {
    return (
      this.writes + writes <= this.maxWrites &&
      this.conditions.length + conditions <= CONDITIONS_PER_WRITE * this.maxWrites &&
      this.bytes + bytes <= TRANSACTION_BYTES &&
      this.context.client.writeTokens.waitMs(writes, tokenReserve.records) === 0
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
