/** Group commit of the writes and comparisons that a node makes for its users. */
import type { Core } from '../core/core.js';
import { Batch, CONDITIONS_PER_WRITE, type BatchEntry } from './batch.js';
import type { StateClient } from './client.js';
import type { TransactionResult } from './results.js';
import { sizeOf } from './pages.js';

interface Queued extends BatchEntry {
  /** Nobody waits for the outcome any more from then on. */
  until: number;
}

/** How a batcher shares the tokens, and for how long it waits. */
export interface BatcherOptions {
  /** Share of the tokens that is left to calls of higher priority. */
  reserve: number;
  timeoutMs: number;
  /** How long an entry may wait for its transaction to be sent. */
  queueMs: number;
  /** Least time between two transactions that are not full: more entries share each. */
  everyMs: number;
}

/**
 * Group commit: entries of many callers go into one transaction, at most one in flight. When it
 * fails on a condition, the entries concerned learn so and the rest go again without them.
 */
export class Batcher {
  private queue: Queued[] = [];
  /** Writes and conditions of the queued entries. */
  private writes = 0;
  private conditions = 0;
  private nextAt = 0;
  private inFlight = false;
  /** Entries go one by one: it has to be found out whose fault a failure was. */
  private single = false;
  /** A timer that leads to the next flush is running. */
  private waiting = false;

  constructor(
    private readonly core: Core,
    private readonly client: StateClient,
    private readonly options: BatcherOptions,
  ) {
    core.onBatchEnd(() => this.flush());
  }

  /** False: it could not be sent in time; nothing was queued. */
  add(entry: BatchEntry): boolean {
    const { queueMs } = this.options;
    if (this.waitMs(entry.writes.length) > queueMs) return false;
    this.queue.push({ ...entry, until: this.core.now() + queueMs });
    this.count(entry, 1);
    return true;
  }

  /** Counts an entry that has been queued, or with -1 one that has left the queue. */
  private count({ writes, conditions }: BatchEntry, times: 1 | -1): void {
    this.writes += writes.length * times;
    this.conditions += conditions.length * times;
    this.client.queued += writes.length * times;
  }

  /** A whole transaction waits: more entries could not share it. */
  private get full(): boolean {
    const { txnOps } = this.client.limits.inForce;
    return this.writes >= txnOps || this.conditions >= txnOps * CONDITIONS_PER_WRITE;
  }

  /** How long until tokens for one more entry are there, after all that wait already. */
  waitMs(writes = 1): number {
    const { reserve } = this.options;
    const { tokens, writeTokens } = this.client;
    const request = tokens.waitMs(1, reserve);
    return writes === 0
      ? request
      : Math.max(request, writeTokens.waitMs(this.writes + writes, reserve));
  }

  private flush(): void {
    if (this.inFlight || this.queue.length === 0) return;
    const now = this.core.now();
    if (now < this.nextAt && !this.full) return this.later(this.nextAt - now);
    const waitMs = this.client.tokens.waitMs(1, this.options.reserve);
    if (waitMs > 0) return this.later(waitMs);
    this.nextAt = now + this.options.everyMs;
    this.dropLate(now);
    const batch = this.takeBatch();
    if (batch.entries.length > 0) this.send(batch);
  }

  /** The first of the queue, as many as limits and write tokens allow. */
  private takeBatch(): Batch<Queued> {
    const batch = new Batch<Queued>(this.client.limits.inForce.txnOps);
    for (;;) {
      const next = this.queue[0];
      if (next === undefined) return batch;
      const bytes = sizeOf([next.conditions, next.writes]);
      if (!batch.empty && (this.single || !batch.fits(next, bytes))) return batch;
      if (!this.takeWriteTokens(next)) {
        if (batch.empty) this.later(this.writeWaitMs(next));
        return batch;
      }
      this.queue.shift();
      this.count(next, -1);
      batch.add(next, bytes);
    }
  }

  private takeWriteTokens({ writes }: Queued): boolean {
    const { writeTokens } = this.client;
    return writes.length === 0 || writeTokens.take(writes.length, this.options.reserve);
  }

  private writeWaitMs({ writes }: Queued): number {
    return this.client.writeTokens.waitMs(writes.length, this.options.reserve);
  }

  private send({ entries, conditions, writes }: Batch<Queued>): void {
    this.client.tokens.take(1, 0);
    this.inFlight = true;
    for (const entry of entries) entry.sent?.();
    this.client.multi(conditions, writes, this.options.timeoutMs, (result) => {
      this.inFlight = false;
      this.settle(entries, result);
    });
  }

  /** Whoever asked has given up: carrying it out now would only delay those who still wait. */
  private dropLate(now: number): void {
    const late = this.queue.filter((entry) => entry.until < now);
    if (late.length === 0) return;
    this.queue = this.queue.filter((entry) => entry.until >= now);
    for (const entry of late) {
      this.count(entry, -1);
      entry.done({ kind: 'refused' });
    }
  }

  private settle(batch: Queued[], result: TransactionResult): void {
    if (result.kind === 'too-large' && batch.length > 1) {
      // Refused as malformed: one entry's fault must not be that of all in its batch.
      this.single = true;
      this.again(batch);
      return;
    }
    if (result.kind !== 'conflict' || batch.length === 1) {
      this.single = false;
      for (const entry of batch) entry.done(result);
      return;
    }
    const failed = new Set(result.failed);
    const rest: Queued[] = [];
    for (const entry of batch) {
      if (entry.conditions.some(({ key }) => failed.has(key))) entry.done(result);
      else rest.push(entry);
    }
    // Nobody named: find out one by one.
    this.single = rest.length === batch.length;
    this.again(rest);
  }

  private again(entries: Queued[]): void {
    this.queue.unshift(...entries);
    for (const entry of entries) this.count(entry, 1);
    this.nextAt = 0;
  }

  private later(ms: number): void {
    if (this.waiting) return;
    this.waiting = true;
    this.core.after(Math.max(5, ms), 'tokens', () => {
      this.waiting = false;
    });
  }
}
