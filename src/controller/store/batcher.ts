import type { Core } from '../core/core.js';
import type { Settings } from '../settings/settings.js';
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

const TXN_BYTES = 60 * 1024;

/**
 * Group commit: entries of many callers go into one transaction, at most one in flight. When it
 * fails on a condition, the entries concerned learn so and the rest go again without them.
 */
export class Batcher {
  private queue: Entry[] = [];
  private inFlight = false;
  private single = false;

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    private readonly client: StateClient,
    private readonly options: { reserve: number; timeoutMs: number; maxQueue: number },
  ) {
    core.onBatchEnd(() => this.flush());
  }

  /** False: too much is waiting or tokens are out; nothing was queued. */
  add(entry: Entry): boolean {
    if (this.queue.length >= this.options.maxQueue) return false;
    if (this.waitMs > this.options.timeoutMs) return false;
    this.queue.push(entry);
    return true;
  }

  /** How long until tokens for one more entry are there. */
  get waitMs(): number {
    const { reserve } = this.options;
    return Math.max(
      this.client.tokens.waitMs(1, reserve),
      this.client.writeTokens.waitMs(1, reserve),
    );
  }

  private flush(): void {
    if (this.inFlight || this.queue.length === 0) return;
    const { reserve } = this.options;
    const { txnOps } = this.settings.platform.stateLimits;
    if (this.client.tokens.waitMs(1, reserve) > 0)
      return this.later(this.client.tokens.waitMs(1, reserve));

    const batch: Entry[] = [];
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
      batch.push(next);
      conditions.push(...next.conditions);
      writes.push(...next.writes);
      for (const c of next.conditions) keys.add(c.key);
      bytes += size;
    }
    this.client.tokens.take(1, 0);
    this.inFlight = true;
    for (const e of batch) e.sent?.();
    this.client.multi(conditions, writes, this.options.timeoutMs, (result) => {
      this.inFlight = false;
      this.settle(batch, result);
    });
  }

  private settle(batch: Entry[], result: TxnResult): void {
    if (result.kind === 'no-lease' && batch.length > 1) {
      // Refused as malformed: one entry's fault must not be that of all in its batch.
      this.single = true;
      this.queue.unshift(...batch);
      return;
    }
    if (result.kind !== 'conflict' || batch.length === 1) {
      this.single = false;
      for (const e of batch) e.done(result);
      return;
    }
    const failed = new Set(result.failed);
    const rest: Entry[] = [];
    for (const e of batch) {
      if (e.conditions.some((c) => failed.has(c.key))) e.done(result);
      else rest.push(e);
    }
    // Nobody named: find out one by one.
    this.single = rest.length === batch.length;
    this.queue.unshift(...rest);
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
