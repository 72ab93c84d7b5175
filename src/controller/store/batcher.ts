import type { Core } from '../core/core.js';
import type { Condition, Write } from '../wire/state.js';
import type { StateClient, TxnResult } from './client.js';
import { sizeOf } from './pages.js';

export interface Entry {
  conditions: Condition[];
  writes: Write[];
  /** The entry is on its way: whoever asks from now on must ask anew. */
  sent?: () => void;
  done: (r: TxnResult) => void;
}

interface Queued extends Entry {
  /** Nobody waits for the outcome any more from then on. */
  until: number;
}

export interface BatcherOptions {
  /** Share of the tokens that is left to calls of higher priority. */
  reserve: number;
  timeoutMs: number;
  /** How long an entry may wait for its transaction to be sent. */
  queueMs: number;
  /** Least time between two transactions: more entries share each. */
  everyMs: number;
}

const TXN_BYTES = 60 * 1024;

/**
 * Group commit: entries of many callers go into one transaction, at most one in flight. When it
 * fails on a condition, the entries concerned learn so and the rest go again without them.
 */
export class Batcher {
  private queue: Queued[] = [];
  /** Writes of the queued entries. */
  private writes = 0;
  private nextAt = 0;
  private inFlight = false;
  private single = false;

  constructor(
    private readonly core: Core,
    private readonly client: StateClient,
    private readonly options: BatcherOptions,
  ) {
    core.onBatchEnd(() => this.flush());
  }

  /** False: it could not be sent in time; nothing was queued. */
  add(entry: Entry): boolean {
    const { queueMs } = this.options;
    if (this.waitMs(entry.writes.length) > queueMs) return false;
    this.queue.push({ ...entry, until: this.core.now() + queueMs });
    this.count(entry.writes.length);
    return true;
  }

  private count(writes: number): void {
    this.writes += writes;
    this.client.queued += writes;
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
    if (now < this.nextAt) return this.later(this.nextAt - now);
    const { reserve } = this.options;
    const { txnOps } = this.client.limits.inForce;
    const wait = this.client.tokens.waitMs(1, reserve);
    if (wait > 0) return this.later(wait);
    this.nextAt = now + this.options.everyMs;
    this.dropLate(now);

    const batch: Queued[] = [];
    const conditions: Condition[] = [];
    const writes: Write[] = [];
    const keys = new Set<string>();
    let bytes = 0;
    while (this.queue.length > 0) {
      const next = this.queue[0];
      if (next === undefined) break;
      const size = sizeOf([next.conditions, next.writes]);
      const fits =
        conditions.length + next.conditions.length <= 4 * txnOps &&
        writes.length + next.writes.length <= txnOps &&
        bytes + size <= TXN_BYTES &&
        // Two entries on one key would share their fate: the second waits for the next batch.
        !next.conditions.some((c) => keys.has(c.key));
      if (batch.length > 0 && (!fits || this.single)) break;
      if (next.writes.length > 0 && !this.client.writeTokens.take(next.writes.length, reserve)) {
        if (batch.length === 0)
          return this.later(this.client.writeTokens.waitMs(next.writes.length, reserve));
        break;
      }
      this.queue.shift();
      this.count(-next.writes.length);
      batch.push(next);
      conditions.push(...next.conditions);
      writes.push(...next.writes);
      for (const c of next.conditions) keys.add(c.key);
      bytes += size;
    }
    if (batch.length === 0) return;
    this.client.tokens.take(1, 0);
    this.inFlight = true;
    for (const e of batch) e.sent?.();
    this.client.multi(conditions, writes, this.options.timeoutMs, (result) => {
      this.inFlight = false;
      this.settle(batch, result);
    });
  }

  /** Whoever asked has given up: carrying it out now would only delay those who still wait. */
  private dropLate(now: number): void {
    const late = this.queue.filter((e) => e.until < now);
    if (late.length === 0) return;
    this.queue = this.queue.filter((e) => e.until >= now);
    for (const e of late) {
      this.count(-e.writes.length);
      e.done({ kind: 'refused' });
    }
  }

  private settle(batch: Queued[], result: TxnResult): void {
    if (result.kind === 'too-large' && batch.length > 1) {
      // Refused as malformed: one entry's fault must not be that of all in its batch.
      this.single = true;
      this.again(batch);
      return;
    }
    if (result.kind !== 'conflict' || batch.length === 1) {
      this.single = false;
      for (const e of batch) e.done(result);
      return;
    }
    const failed = new Set(result.failed);
    const rest: Queued[] = [];
    for (const e of batch) {
      if (e.conditions.some((c) => failed.has(c.key))) e.done(result);
      else rest.push(e);
    }
    // Nobody named: find out one by one.
    this.single = rest.length === batch.length;
    this.again(rest);
  }

  private again(entries: Queued[]): void {
    this.queue.unshift(...entries);
    for (const e of entries) this.count(e.writes.length);
    this.nextAt = 0;
  }

  private waiting = false;
  private later(ms: number): void {
    if (this.waiting) return;
    this.waiting = true;
    this.core.after(Math.max(5, ms), 'tokens', () => {
      this.waiting = false;
    });
  }
}
