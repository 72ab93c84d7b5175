/** Decides when the leader's records are committed, and what the next commit contains. */
import type { Condition } from '../wire/state.js';
import { CommitBuilder, type Commit } from './commit-builder.js';
import type { RecordEntry } from './page.js';
import type { RecordStoreContext } from './record-store-context.js';

/**
 * Longest time for which deferrable entries get no pages of their own while urgent entries are waiting,
 * as a ratio to the workers' lease.
 */
const MAX_DEFERRAL_RATIO = 0.25;

/**
 * Commits with one page each may use at most this share of the leader's write rate. Commits with several
 * pages may use more. The remaining share is for the transactions that end jobs, so that neither kind of
 * write starves the other.
 */
const PAGE_WRITES_RATIO = 0.45;

/** The writes of records that may be committed now; transactions may be committed at any time. */
export interface DueWrites {
  /** Whether pages may be committed. */
  pages: boolean;
  /** Whether pages that have only deferrable entries to write may be committed too. */
  deferrable: boolean;
}

/** Divides the writes between pages and transactions, and among entries by their priority. */
export class CommitPlanner {
  /** Earliest time of the next commit that contains pages. */
  private pagesDueAt = 0;
  /** Earliest time of the next commit with pages that have only deferrable entries to write. */
  private deferrableDueAt = 0;
  /** Time of the last commit in which deferrable entries could have pages of their own. */
  private deferrablePagesAt = 0;

  constructor(private readonly context: RecordStoreContext) {}

  /** Returns which records may be committed at `now`. */
  due(now: number): DueWrites {
    const { pending } = this.context;
    const deferrable = pending.deferrable.size > 0 && now >= this.deferrableDueAt;
    const pages = now >= this.pagesDueAt && (pending.urgent.size > 0 || deferrable);
    return { pages, deferrable };
  }

  /** Earliest time at which the pending entries may be committed. */
  get nextPagesDueAt(): number {
    if (this.context.pending.urgent.size > 0) return this.pagesDueAt;
    return Math.max(this.pagesDueAt, this.deferrableDueAt);
  }

  /** Allows the next commit of pages immediately, regardless of their share of the write rate. */
  allowPagesNow(): void {
    this.pagesDueAt = 0;
  }

  /**
   * Shortest interval between commits of pages. With it, commits that contain one page each keep within
   * `PAGE_WRITES_RATIO` of the write rate.
   */
  private get minPageIntervalMs(): number {
    return 1000 / (this.context.client.budget.writeTokens.perSecond * PAGE_WRITES_RATIO);
  }

  /** Returns the next commit, or null if there are not enough write tokens for any part of it. */
  plan(dueWrites: DueWrites, fencingCondition: Condition): Commit | null {
    const now = this.context.eventLoop.now();
    const builder = new CommitBuilder(this.context, fencingCondition);
    const { isolation } = this.context;
    if (isolation.scope !== 'everything') this.addPart(builder);
    if (isolation.scope !== 'everything') return builder.isEmpty ? null : builder.build();
    if (dueWrites.pages) {
      this.pagesDueAt = now + this.minPageIntervalMs;
      this.addUrgent(builder);
    }
    // Transactions end jobs, and users wait for them, so they precede deferrable entries.
    builder.addTransactions(Infinity);
    if (dueWrites.pages) this.addDeferrable(builder, dueWrites.deferrable, now);
    return builder.isEmpty ? null : builder.build();
  }

  /** Adds one part of a commit that was refused, or ends the isolation if there is none left. */
  private addPart(builder: CommitBuilder): void {
    const { isolation, transactions, pending } = this.context;
    if (isolation.scope === 'one-transaction' && transactions.length > 0) {
      builder.addTransactions(1);
    } else if (isolation.scope === 'one-page' && pending.urgent.size > 0) {
      this.addUrgent(builder);
    } else {
      isolation.end();
    }
  }

  private addUrgent(builder: CommitBuilder): void {
    const { immediate, urgent } = this.context.pending;
    for (const entry of immediate) if (!this.tryAdd(builder, entry, true)) break;
    for (const entry of urgent)
      if (!builder.has(entry) && !this.tryAdd(builder, entry, true)) break;
  }

  /**
   * Adds deferrable entries. To save writes, they are added to pages that are written anyway. They get pages of
   * their own only if the commit contains all urgent entries or if they have waited too long.
   */
  private addDeferrable(builder: CommitBuilder, isDue: boolean, now: number): void {
    const { pending, settings } = this.context;
    if (isDue) this.deferrableDueAt = now + settings.get('placement.hold.record.s') * 1000;
    const mayAddPage = isDue && (this.containsAllUrgent(builder) || this.isDeferralTooLong(now));
    if (mayAddPage) this.deferrablePagesAt = now;
    for (const entry of pending.deferrable) if (!this.tryAdd(builder, entry, mayAddPage)) break;
  }

  private containsAllUrgent(builder: CommitBuilder): boolean {
    for (const entry of this.context.pending.urgent) if (!builder.has(entry)) return false;
    return true;
  }

  private isDeferralTooLong(now: number): boolean {
    const maxDeferralMs = this.context.settings.workerLeaseMs * MAX_DEFERRAL_RATIO;
    return now - this.deferrablePagesAt > maxDeferralMs;
  }

  /** Adds an entry, or skips it if it is oversized. Returns false if it does not fit in the commit. */
  private tryAdd(builder: CommitBuilder, entry: RecordEntry, mayAddPage: boolean): boolean {
    if (this.context.pages.allocator.fitsInPage(entry))
      return builder.tryAddEntry(entry, mayAddPage);
    this.skipOversized(entry);
    return true;
  }

  /**
   * Skips an entry whose value exceeds the largest value size. The value was set by this leader, or under
   * higher limits, for instance by an earlier leader. Until a value that fits is set or the largest value size
   * has grown, the stored value stays unchanged, and the callbacks of the oversized value are not called. Therefore no start command is sent for
   * a task that only the oversized value lists, and the stored value remains an upper bound of the running
   * tasks (invariant 4).
   */
  private skipOversized(entry: RecordEntry): void {
    const { pending, eventLoop } = this.context;
    pending.setAside(entry);
    eventLoop.log.warn(
      { key: entry.key, size: entry.size },
      'record exceeds the largest value size; not written',
    );
  }
}
