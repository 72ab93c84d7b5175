/** Group commit of the writes and comparisons that a node makes on behalf of its users. */
import type { EventLoop } from '../runtime/event-loop.js';
import { Batch, MAX_CONDITIONS_PER_WRITE, type BatchEntry } from './batch.js';
import type { StateStoreClient } from './client.js';
import { storedSize } from './page.js';
import type { TransactionResult } from './results.js';

/** Shortest delay of the timer for the next flush, in milliseconds. */
const MIN_TIMER_MS = 5;

interface QueuedEntry extends BatchEntry {
  /** Time at which the caller stops waiting for the entry to be sent. */
  expiresAt: number;
}

/** Priority of a group commit among the users of the rate budget, and its time limits. */
export interface GroupCommitOptions {
  /** Fraction of the burst that is reserved for calls of higher priority. */
  tokenReserve: number;
  /** Time-out of a transaction. */
  timeoutMs: number;
  /** Longest time that an entry may wait to be sent. */
  maxQueueMs: number;
  /** Shortest time between two transactions, to collect entries. A full transaction is sent sooner. */
  minIntervalMs: number;
}

/**
 * Combines the entries of many callers into transactions, of which at most one is in flight. If a
 * transaction conflicts, the entries whose conditions failed are reported as conflicts, and the others
 * are sent again in the next transaction.
 */
export class GroupCommit {
  private queue: QueuedEntry[] = [];
  /** Numbers of writes and conditions of the queued entries. */
  private queuedWrites = 0;
  private queuedConditions = 0;
  private nextFlushAt = 0;
  private inFlight = false;
  /** Whether entries are sent one by one, to find the one that makes a transaction fail. */
  private oneByOne = false;
  /**
   * Whether a timer is running. When it fires, it posts an event. `flush` is called after the batch of events
   * that contains this event.
   */
  private timerRunning = false;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly client: StateStoreClient,
    private readonly options: GroupCommitOptions,
  ) {
    eventLoop.onBatchEnd(() => this.flush());
  }

  /** Queues an entry. Returns false and does not queue it if it could not be sent within `maxQueueMs`. */
  add(entry: BatchEntry): boolean {
    const { maxQueueMs } = this.options;
    if (this.waitMs(entry.writes.length) > maxQueueMs) return false;
    this.queue.push({ ...entry, expiresAt: this.eventLoop.now() + maxQueueMs });
    this.countQueued(entry, 1);
    return true;
  }

  /** Updates the counters for an entry that was added to the queue (1) or removed from it (-1). */
  private countQueued({ writes, conditions }: BatchEntry, sign: 1 | -1): void {
    this.queuedWrites += writes.length * sign;
    this.queuedConditions += conditions.length * sign;
    this.client.budget.queuedWrites += writes.length * sign;
  }

  /** Whether the queued entries fill a transaction, so that waiting for more entries has no benefit. */
  private get hasFullBatch(): boolean {
    const { txnOps } = this.client.budget.limits.current;
    return (
      this.queuedWrites >= txnOps || this.queuedConditions >= txnOps * MAX_CONDITIONS_PER_WRITE
    );
  }

  /** Returns the milliseconds until there are tokens for another entry with this number of writes. */
  waitMs(writes = 1): number {
    const { tokenReserve } = this.options;
    const { requestTokens, writeTokens } = this.client.budget;
    const requestMs = requestTokens.waitMs(1, tokenReserve);
    if (writes === 0) return requestMs;
    return Math.max(requestMs, writeTokens.waitMs(this.queuedWrites + writes, tokenReserve));
  }

  private flush(): void {
    if (this.inFlight || this.queue.length === 0) return;
    const now = this.eventLoop.now();
    this.dropExpired(now);
    if (now < this.nextFlushAt && !this.hasFullBatch)
      return this.flushLater(this.nextFlushAt - now);
    const waitMs = this.client.budget.requestTokens.waitMs(1, this.options.tokenReserve);
    if (waitMs > 0) return this.flushLater(waitMs);
    this.nextFlushAt = now + this.options.minIntervalMs;
    const batch = this.takeBatch();
    if (!batch.isEmpty) this.send(batch);
  }

  /** Removes as many entries from the front of the queue as the limits and write tokens allow. */
  private takeBatch(): Batch<QueuedEntry> {
    const batch = new Batch<QueuedEntry>(this.client.budget.limits.current.txnOps);
    for (;;) {
      const next = this.queue[0];
      if (next === undefined) return batch;
      const size = storedSize([next.conditions, next.writes]);
      if (!batch.isEmpty && (this.oneByOne || !batch.fits(next, size))) return batch;
      if (!this.tryTakeWriteTokens(next)) {
        if (batch.isEmpty) this.flushLater(this.writeWaitMs(next));
        return batch;
      }
      this.queue.shift();
      this.countQueued(next, -1);
      batch.add(next, size);
    }
  }

  private tryTakeWriteTokens({ writes }: QueuedEntry): boolean {
    const { writeTokens } = this.client.budget;
    return writes.length === 0 || writeTokens.tryTake(writes.length, this.options.tokenReserve);
  }

  private writeWaitMs({ writes }: QueuedEntry): number {
    return this.client.budget.writeTokens.waitMs(writes.length, this.options.tokenReserve);
  }

  private send({ entries, conditions, writes }: Batch<QueuedEntry>): void {
    this.client.budget.requestTokens.tryTake(1, 0);
    this.inFlight = true;
    for (const entry of entries) entry.onSent?.();
    this.client.transact(conditions, writes, this.options.timeoutMs, (result) => {
      this.inFlight = false;
      this.settle(entries, result);
    });
  }

  /** Drops entries whose callers have stopped waiting: sending them would only delay the others. */
  private dropExpired(now: number): void {
    const expired = this.queue.filter((entry) => entry.expiresAt < now);
    if (expired.length === 0) return;
    this.queue = this.queue.filter((entry) => entry.expiresAt >= now);
    for (const entry of expired) {
      this.countQueued(entry, -1);
      entry.done({ kind: 'refused' });
    }
  }

  private settle(entries: QueuedEntry[], result: TransactionResult): void {
    if (entries.length > 1 && result.kind === 'too-large') {
      // A fault of one entry must not make the other entries of the transaction fail.
      this.oneByOne = true;
      this.requeue(entries);
    } else if (entries.length > 1 && result.kind === 'conflict') {
      this.settleConflict(entries, result);
    } else {
      this.oneByOne = false;
      for (const entry of entries) entry.done(result);
    }
  }

  /** Reports the conflict to the entries whose conditions failed, and queues the others again. */
  private settleConflict(
    entries: QueuedEntry[],
    result: TransactionResult & { kind: 'conflict' },
  ): void {
    const failedKeys = new Set(result.failedKeys);
    const unaffected: QueuedEntry[] = [];
    for (const entry of entries) {
      if (entry.conditions.some(({ key }) => failedKeys.has(key))) entry.done(result);
      else unaffected.push(entry);
    }
    // If no entry has a condition on a key that the store has named, the entries are sent one by one to find
    // the one that conflicts.
    this.oneByOne = unaffected.length === entries.length;
    this.requeue(unaffected);
  }

  private requeue(entries: QueuedEntry[]): void {
    this.queue.unshift(...entries);
    for (const entry of entries) this.countQueued(entry, 1);
    this.nextFlushAt = 0;
  }

  /** Starts a timer for the next flush, at the latest when the first entry expires. */
  private flushLater(delayMs: number): void {
    if (this.timerRunning) return;
    this.timerRunning = true;
    const expiresInMs = (this.queue[0]?.expiresAt ?? Infinity) - this.eventLoop.now();
    const timerMs = Math.max(MIN_TIMER_MS, Math.min(delayMs, expiresInMs + 1));
    this.eventLoop.after(timerMs, 'group-commit', () => {
      this.timerRunning = false;
    });
  }
}
