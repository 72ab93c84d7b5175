/** Group commit of the writes and comparisons that a node makes for its users. */
import type { EventLoop } from '../runtime/event-loop.js';
import { Batch, MAX_CONDITIONS_PER_WRITE, type BatchEntry } from './batch.js';
import type { StateStoreClient } from './client.js';
import type { TransactionResult } from './results.js';
import { storedSize } from './page-table.js';

interface QueuedEntry extends BatchEntry {
  /** Nobody waits for the outcome any more from then on. */
  expiresAt: number;
}

/** How a batcher shares the tokens, and for how long it waits. */
export interface GroupCommitOptions {
  /** Share of the tokens that is left to calls of higher priority. */
  tokenReserve: number;
  timeoutMs: number;
  /** How long an entry may wait for its transaction to be sent. */
  maxQueueMs: number;
  /** Least time between two transactions that are not full: more entries share each. */
  minIntervalMs: number;
}

/**
 * Group commit: entries of many callers go into one transaction, at most one in flight. When it
 * fails on a condition, the entries concerned learn so and the rest go again without them.
 */
export class GroupCommit {
  private queue: QueuedEntry[] = [];
  /** Writes and conditions of the queued entries. */
  private queuedWrites = 0;
  private queuedConditions = 0;
  private nextFlushAt = 0;
  private inFlight = false;
  /** Entries go one by one: it has to be found out whose fault a failure was. */
  private oneByOne = false;
  /** A timer that leads to the next flush is running. */
  private timerRunning = false;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly client: StateStoreClient,
    private readonly options: GroupCommitOptions,
  ) {
    eventLoop.onBatchEnd(() => this.flush());
  }

  /** False: it could not be sent in time; nothing was queued. */
  add(entry: BatchEntry): boolean {
    const { maxQueueMs } = this.options;
    if (this.waitMs(entry.writes.length) > maxQueueMs) return false;
    this.queue.push({ ...entry, expiresAt: this.eventLoop.now() + maxQueueMs });
    this.count(entry, 1);
    return true;
  }

  /** Counts an entry that has been queued, or with -1 one that has left the queue. */
  private count({ writes, conditions }: BatchEntry, times: 1 | -1): void {
    this.queuedWrites += writes.length * times;
    this.queuedConditions += conditions.length * times;
    this.client.budget.queuedWrites += writes.length * times;
  }

  /** A whole transaction waits: more entries could not share it. */
  private get hasFullBatch(): boolean {
    const { txnOps } = this.client.budget.limits.current;
    return (
      this.queuedWrites >= txnOps || this.queuedConditions >= txnOps * MAX_CONDITIONS_PER_WRITE
    );
  }

  /** How long until tokens for one more entry are there, after all that wait already. */
  waitMs(writes = 1): number {
    const { tokenReserve } = this.options;
    const { requestTokens, writeTokens } = this.client.budget;
    const request = requestTokens.waitMs(1, tokenReserve);
    return writes === 0
      ? request
      : Math.max(request, writeTokens.waitMs(this.queuedWrites + writes, tokenReserve));
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
    if (batch.entries.length > 0) this.send(batch);
  }

  /** The first of the queue, as many as limits and write tokens allow. */
  private takeBatch(): Batch<QueuedEntry> {
    const batch = new Batch<QueuedEntry>(this.client.budget.limits.current.txnOps);
    for (;;) {
      const next = this.queue[0];
      if (next === undefined) return batch;
      const bytes = storedSize([next.conditions, next.writes]);
      if (!batch.isEmpty && (this.oneByOne || !batch.fits(next, bytes))) return batch;
      if (!this.takeWriteTokens(next)) {
        if (batch.isEmpty) this.flushLater(this.writeWaitMs(next));
        return batch;
      }
      this.queue.shift();
      this.count(next, -1);
      batch.add(next, bytes);
    }
  }

  private takeWriteTokens({ writes }: QueuedEntry): boolean {
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

  /** Whoever asked has given up: carrying it out now would only delay those who still wait. */
  private dropExpired(now: number): void {
    const late = this.queue.filter((entry) => entry.expiresAt < now);
    if (late.length === 0) return;
    this.queue = this.queue.filter((entry) => entry.expiresAt >= now);
    for (const entry of late) {
      this.count(entry, -1);
      entry.done({ kind: 'refused' });
    }
  }

  private settle(batch: QueuedEntry[], result: TransactionResult): void {
    if (result.kind === 'too-large' && batch.length > 1) {
      // Refused as malformed: one entry's fault must not be that of all in its batch.
      this.oneByOne = true;
      this.requeue(batch);
      return;
    }
    if (result.kind !== 'conflict' || batch.length === 1) {
      this.oneByOne = false;
      for (const entry of batch) entry.done(result);
      return;
    }
    const failed = new Set(result.failedKeys);
    const rest: QueuedEntry[] = [];
    for (const entry of batch) {
      if (entry.conditions.some(({ key }) => failed.has(key))) entry.done(result);
      else rest.push(entry);
    }
    // Nobody named: find out one by one.
    this.oneByOne = rest.length === batch.length;
    this.requeue(rest);
  }

  private requeue(entries: QueuedEntry[]): void {
    this.queue.unshift(...entries);
    for (const entry of entries) this.count(entry, 1);
    this.nextFlushAt = 0;
  }

  private flushLater(ms: number): void {
    if (this.timerRunning) return;
    this.timerRunning = true;
    this.eventLoop.after(Math.max(5, ms), 'tokens', () => {
      this.timerRunning = false;
    });
  }
}
