/** Decides when the leader's records are committed, and what goes into the next commit. */
import type { Condition } from '../wire/state.js';
import { CommitBuilder, type Commit } from './commit-builder.js';
import type { Entry } from './page.js';
import type { RecordsContext } from './records-context.js';

/** For this share of a worker's lease, lazy entries leave the puts to urgent ones. */
const LAZY_WAIT = 0.25;

/**
 * Share of the leader's puts that pages take while something urgent is always waiting; the rest is
 * for jobs' ends, so that neither starves the other.
 */
const PAGES_SHARE = 0.45;

/** What may be committed now, transactions aside. */
export interface DueWrites {
  pages: boolean;
  /** Lazy entries may have pages of their own. */
  lazy: boolean;
}

/** Shares the puts between pages and transactions, and among entries by their urgency. */
export class CommitPlanner {
  private pagesAt = 0;
  private lazyAt = 0;
  /** When lazy entries last had pages of their own. */
  private lazyPagesAt = 0;

  constructor(private readonly context: RecordsContext) {}

  /** What may be committed at `now`. */
  due(now: number): DueWrites {
    const lazy = this.context.pending.lazy.size > 0 && now >= this.lazyAt;
    const pages = now >= this.pagesAt && (this.context.pending.urgent.size > 0 || lazy);
    return { pages, lazy };
  }

  /** When pages that wait now may be committed. */
  get nextPagesAt(): number {
    if (this.context.pending.urgent.size > 0) return this.pagesAt;
    return Math.max(this.pagesAt, this.lazyAt);
  }

  /** Lets the next pages go without waiting for their share of the puts. */
  pagesAtOnce(): void {
    this.pagesAt = 0;
  }

  /** Least time between two commits of pages that keeps within their share of the puts. */
  private get pagesEveryMs(): number {
    return 1000 / (this.context.client.writeTokens.perSecond * PAGES_SHARE);
  }

  /** The next commit, or null where there are no write tokens for any part of it. */
  plan(due: DueWrites, fence: Condition): Commit | null {
    const now = this.context.core.now();
    const builder = new CommitBuilder(this.context, fence);
    if (due.pages) {
      this.pagesAt = now + this.pagesEveryMs;
      this.addUrgent(builder);
    }
    // Ends of jobs: their users are waiting.
    builder.addTransactions();
    if (due.pages) this.addLazy(builder, due.lazy, now);
    return builder.empty ? null : builder.build();
  }

  private addUrgent(builder: CommitBuilder): void {
    const { first, urgent } = this.context.pending;
    for (const entry of first) if (!this.add(builder, entry, true)) break;
    for (const entry of urgent) if (!builder.has(entry) && !this.add(builder, entry, true)) break;
  }

  /**
   * Where puts are short, what is lazy goes along on pages that go out anyway, and has pages of its
   * own only when nothing urgent is left or it has waited for long.
   */
  private addLazy(builder: CommitBuilder, due: boolean, now: number): void {
    if (due) this.lazyAt = now + this.context.settings.get('placement.hold.record.s') * 1000;
    const ownPages = due && (this.allUrgentIn(builder) || this.lazyWaitedLong(now));
    if (ownPages) this.lazyPagesAt = now;
    for (const entry of this.context.pending.lazy) if (!this.add(builder, entry, ownPages)) break;
  }

  private allUrgentIn(builder: CommitBuilder): boolean {
    for (const entry of this.context.pending.urgent) if (!builder.has(entry)) return false;
    return true;
  }

  private lazyWaitedLong(now: number): boolean {
    return now - this.lazyPagesAt > this.context.settings.workerLeaseMs * LAZY_WAIT;
  }

  /** False: no room is left in this commit. */
  private add(builder: CommitBuilder, entry: Entry, newPages: boolean): boolean {
    if (this.context.pages.writable(entry)) return builder.addEntry(entry, newPages);
    this.holdBack(entry);
    return true;
  }

  /**
   * Larger than the service takes: of a leader before, under other limits. What is stored is left as
   * it is, an upper bound of what runs, until a value is set that fits.
   */
  private holdBack(entry: Entry): void {
    this.context.pending.remove(entry);
    this.context.core.log.warn(
      { key: entry.key, bytes: entry.bytes },
      'record too large to be written',
    );
  }
}
