/** Group commit of the writes and comparisons that a node makes for its users. */
import type { EventLoop } from '../runtime/event-loop.js';
import { Batch, MAX_CONDITIONS_PER_WRITE, type BatchEntry } from './batch.js';
import type { StateStoreClient } from './client.js';
import { storedSize } from './page.js';
import type { TransactionResult } from './results.js';

/** Shortest timer until the next flush. */
const MIN_TIMER_MS = 5;

interface QueuedEntry extends BatchEntry {
  /** When its caller has given up waiting for the outcome. */
  expiresAt: number;
}

/** How a group commit shares the tokens with other callers, and how long it waits. */
export interface GroupCommitOptions {
  /** Ratio of the burst that is left to calls of higher priority. */
  tokenReserve: number;
  /** Time-out of a transaction. */
  timeoutMs: number;
  /** How long an entry may wait for its transaction to be sent. */
  maxQueueMs: number;
  /** Least time between two transactions that are not full: so more entries share each. */
  minIntervalMs: number;
}

/**
 * Puts the entries of many callers into one transaction, with at most one in flight. When it fails on
 * a condition, the entries concerned are told and the others go into the next without them.
 */
export class GroupCommit {
  private queue: QueuedEntry[] = [];
  /** Writes and conditions of the queued entries. */
  private queuedWrites = 0;
  private queuedConditions = 0;
  private nextFlushAt = 0;
  private inFlight = false;
  /** Entries are sent one by one, to find out which of them makes a transaction fail. */
  private oneByOne = false;
  /** A timer runs; the event that it posts ends a batch, and so leads to the next flush. */
  private timerRunning = false;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly client: StateStoreClient,
    private readonly options: GroupCommitOptions,
  ) {
    eventLoop.onBatchEnd(() => this.flush());
  }

  /** Queues an entry. False: it could not be sent in time, so it was not queued. */
  add(entry: BatchEntry): boolean {
    const { maxQueueMs } = this.options;
    if (this.waitMs(entry.writes.length) > maxQueueMs) return false;
    this.queue.push({ ...entry, expiresAt: this.eventLoop.now() + maxQueueMs });
    this.countQueued(entry, 1);
    return true;
  }

  /** Counts an entry that has joined the queue (1) or left it (-1). */
  private countQueued({ writes, conditions }: BatchEntry, sign: 1 | -1): void {
    this.queuedWrites += writes.length * sign;
    this.queuedConditions += conditions.length * sign;
    this.client.budget.queuedWrites += writes.length * sign;
  }

  /** The queued entries fill a transaction: nothing is gained by waiting for more. */
  private get hasFullBatch(): boolean {
    const { txnOps } = this.client.budget.limits.current;
    return (
      this.queuedWrites >= txnOps || this.queuedConditions >= txnOps * MAX_CONDITIONS_PER_WRITE
    );
  }

  /** How long until there are tokens for an entry with so many writes, behind all that wait already. */
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
    if (now < this.nextFlushAt && !this.hasFullBatch)
      return this.flushLater(this.nextFlushAt - now);
    const waitMs = this.client.budget.requestTokens.waitMs(1, this.options.tokenReserve);
    if (waitMs > 0) return this.flushLater(waitMs);
    this.nextFlushAt = now + this.options.minIntervalMs;
    this.dropExpired(now);
    const batch = this.takeBatch();
    if (!batch.isEmpty) this.send(batch);
  }

  /** Takes entries from the front of the queue, as many as limits and write tokens allow. */
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

  /** Drops entries whose callers have given up: sending them would only delay those who still wait. */
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
      // One entry's fault must not fail all that share its transaction.
      this.oneByOne = true;
      this.requeue(entries);
    } else if (entries.length > 1 && result.kind === 'conflict') {
      this.settleConflict(entries, result);
    } else {
      this.oneByOne = false;
      for (const entry of entries) entry.done(result);
    }
  }

  /** Tells the entries whose conditions failed; the others go again. */
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
    // The store has named no key of any entry.
    this.oneByOne = unaffected.length === entries.length;
    this.requeue(unaffected);
  }

  private requeue(entries: QueuedEntry[]): void {
    this.queue.unshift(...entries);
    for (const entry of entries) this.countQueued(entry, 1);
    this.nextFlushAt = 0;
  }

  private flushLater(delayMs: number): void {
    if (this.timerRunning) return;
    this.timerRunning = true;
    this.eventLoop.after(Math.max(MIN_TIMER_MS, delayMs), 'group-commit', () => {
      this.timerRunning = false;
    });
  }
}
