/** The leader's write-ahead records: each decision is stored before it is carried out. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Condition, KeyValue, Write } from '../wire/state.js';
import type { StateStoreClient } from './client.js';
import { CommitIsolation } from './commit-isolation.js';
import { CommitPlanner } from './commit-planner.js';
import { CommitSender } from './commit-sender.js';
import type { Page } from './page.js';
import { PageTable } from './page-table.js';
import { PendingWrites, type StoredCallback, type WritePriority } from './pending-writes.js';
import { tokenReserve } from './rate-budget.js';
import { TransactionQueue, type PendingTransaction } from './transaction-queue.js';

export type { WritePriority } from './pending-writes.js';

/** Binds a record store to the term of one leader. */
export interface RecordStoreOptions {
  /** Condition of every transaction: the leader key still has the version that this leader wrote. */
  fencingCondition: Condition;
  /** Whether the leader's lease allows it to write now. */
  leaseAllowsWrites: () => boolean;
  /** Called when the condition on the leader key has failed, so this leader has lost the key. */
  onFenced: () => void;
}

/** Delay before the next attempt to write when the lease does not allow writes, in milliseconds. */
const NO_LEASE_RETRY_MS = 50;
/** Delay before the next attempt to write when write tokens are missing, in milliseconds. */
const NO_TOKENS_RETRY_MS = 10;
/** Shortest delay of the timer for the next flush, in milliseconds. */
const MIN_TIMER_MS = 5;

/**
 * The leader's records in the state store. Callers set the newest value of a key and are called back
 * once this value or a newer one is stored. Records are packed into pages (page-table.ts). At most one
 * transaction is in flight.
 *
 * Invariant: every write is conditional on the leader key and on the version of the page that it replaces. A
 * copy that the network delivers late therefore fails, because the leader key or the version of the page has
 * changed. It cannot replace a list of assignments by an older one.
 */
export class RecordStore {
  private readonly pages: PageTable;
  private readonly pending = new PendingWrites();
  private readonly transactions: TransactionQueue;
  private readonly planner: CommitPlanner;
  private readonly sender: CommitSender;
  private closed = false;
  /** Time at which the earliest timer for a flush fires. */
  private timerAt = Infinity;

  constructor(
    private readonly eventLoop: EventLoop,
    settings: Settings,
    private readonly client: StateStoreClient,
    private readonly options: RecordStoreOptions,
  ) {
    this.pages = new PageTable(() => client.budget.limits.maxValueSize);
    this.transactions = new TransactionQueue(client.budget, eventLoop.log);
    const { pages, pending, transactions } = this;
    const isolation = new CommitIsolation();
    const context = { eventLoop, settings, client, pages, pending, transactions, isolation };
    this.planner = new CommitPlanner(context);
    this.sender = new CommitSender(context, options.fencingCondition.key, {
      onFenced: () => options.onFenced(),
      onFailed: () => this.planner.allowPagesNow(),
    });
  }

  /** Closes the store at the end of the term: from now on it sends nothing and calls no callbacks. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.sender.close();
    this.transactions.close();
  }

  /** Number of puts and deletes sent so far, for the metrics. */
  get writesSent(): number {
    return this.sender.writesSent;
  }

  /** Number of transactions given up because the state store can't carry them out, for the metrics. */
  get transactionsGivenUp(): number {
    return this.transactions.givenUp;
  }

  /** Loads the pages that earlier leaders have stored. */
  load(items: KeyValue[]): void {
    this.pages.load(items);
  }

  /**
   * Lists the newest values of all keys with a prefix. Keys that are added during the iteration are not listed.
   */
  *list(prefix: string): Iterable<{ key: string; value: unknown }> {
    for (const { key, json } of [...this.pages.entries.values()])
      if (json !== null && key.startsWith(prefix))
        yield { key, value: JSON.parse(json) as unknown };
  }

  /** Returns whether the key has a value. */
  has(key: string): boolean {
    return this.pages.entries.get(key)?.json != null;
  }

  /**
   * Sets the newest value of a key; `undefined` deletes it. Calls `onStored` once this value or a newer
   * one is stored, which may be immediately.
   */
  set(key: string, value: unknown, priority: WritePriority, onStored?: StoredCallback): void {
    const entry = this.pages.set(key, value);
    if (entry === null || (!entry.dirty && !entry.inFlight)) return onStored?.();
    if (onStored !== undefined) this.pending.addStoredCallback(entry, onStored);
    if (entry.dirty) this.pending.add(entry, priority);
  }

  /**
   * Writes keys that other nodes write too. All writes are carried out if the given conditions and the fencing
   * condition hold, and none otherwise.
   */
  transact(conditions: Condition[], writes: Write[], done: PendingTransaction['done']): void {
    this.transactions.push({ conditions, writes, done });
  }

  /** Number of entries and transactions that are waiting to be sent. */
  get backlog(): number {
    return this.pending.size + this.transactions.length;
  }

  /** Sends the next commit if one is due and allowed. Otherwise starts a timer for the next attempt. */
  flush(): void {
    if (this.closed || this.sender.inFlight) return;
    this.pending.readmit((entry) => this.pages.allocator.fitsInPage(entry));
    if (this.backlog === 0) return;
    const now = this.eventLoop.now();
    if (!this.options.leaseAllowsWrites()) return this.flushLater(NO_LEASE_RETRY_MS);
    const { pauseUntil } = this.sender;
    if (now < pauseUntil) return this.flushLater(pauseUntil - now);
    const dueWrites = this.planner.due(now);
    if (!dueWrites.pages && this.transactions.length === 0)
      return this.flushLater(this.planner.nextPagesDueAt - now);
    const waitMs = this.tokensWaitMs;
    if (waitMs > 0) return this.flushLater(waitMs);
    const page = this.pageOfUnknownVersion();
    if (page !== null) return this.sender.rereadPage(page);
    const commit = this.planner.plan(dueWrites, this.options.fencingCondition);
    if (commit === null) this.flushLater(NO_TOKENS_RETRY_MS);
    else this.sender.send(commit);
  }

  private get tokensWaitMs(): number {
    const { requestTokens, writeTokens } = this.client.budget;
    return Math.max(
      requestTokens.waitMs(1, tokenReserve.records),
      writeTokens.waitMs(1, tokenReserve.records),
    );
  }

  private pageOfUnknownVersion(): Page | null {
    for (const page of this.pages.pages.values()) if (page.versionUnknown) return page;
    return null;
  }

  /** Starts a timer that posts an event. The owner calls `flush` after each batch of events. */
  private flushLater(delayMs: number): void {
    const waitMs = Math.max(MIN_TIMER_MS, delayMs);
    const flushAt = this.eventLoop.now() + waitMs;
    if (flushAt >= this.timerAt) return;
    this.timerAt = flushAt;
    this.eventLoop.after(waitMs, 'flush-records', () => {
      if (this.timerAt === flushAt) this.timerAt = Infinity;
    });
  }
}
