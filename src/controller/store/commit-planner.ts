/** Decides when the leader's records are committed, and what goes into the next commit. */
import type { Condition } from '../wire/state.js';
import { CommitBuilder, type Commit } from './commit-builder.js';
import type { RecordEntry } from './page.js';
import type { RecordStoreContext } from './record-store-context.js';

/** For this ratio of a worker's lease, deferrable entries leave the writes to urgent ones. */
const MAX_DEFERRAL_RATIO = 0.25;

/**
 * Ratio of the leader's writes that pages take while something urgent always waits; the rest is for the
 * ends of jobs, so that neither starves the other.
 */
const PAGE_WRITES_RATIO = 0.45;

/** What may be committed now, transactions aside. */
export interface DueWrites {
  pages: boolean;
  /** Deferrable entries may have pages of their own. */
  deferrable: boolean;
}

/** Shares the writes between pages and transactions, and among entries by their priority. */
export class CommitPlanner {
  /** When the next pages may be committed, with urgent or with only deferrable entries. */
  private pagesDueAt = 0;
  private deferrableDueAt = 0;
  /** When deferrable entries last had pages of their own. */
  private deferrablePagesAt = 0;

  constructor(private readonly context: RecordStoreContext) {}

  /** What may be committed at `now`. */
  due(now: number): DueWrites {
    const { pending } = this.context;
    const deferrable = pending.deferrable.size > 0 && now >= this.deferrableDueAt;
    const pages = now >= this.pagesDueAt && (pending.urgent.size > 0 || deferrable);
    return { pages, deferrable };
  }

  /** When the pages that wait now may be committed. */
  get nextPagesDueAt(): number {
    if (this.context.pending.urgent.size > 0) return this.pagesDueAt;
    return Math.max(this.pagesDueAt, this.deferrableDueAt);
  }

  /** Lets the next pages be committed without waiting for their part of the writes. */
  allowPagesNow(): void {
    this.pagesDueAt = 0;
  }

  /** Least time between two commits of pages that keeps within their part of the writes. */
  private get minPageIntervalMs(): number {
    return 1000 / (this.context.client.budget.writeTokens.perSecond * PAGE_WRITES_RATIO);
  }

  /** The next commit, or null where there are no write tokens for any part of it. */
  plan(due: DueWrites, fencingCondition: Condition): Commit | null {
    const now = this.context.eventLoop.now();
    const builder = new CommitBuilder(this.context, fencingCondition);
    if (due.pages) {
      this.pagesDueAt = now + this.minPageIntervalMs;
      this.addUrgent(builder);
    }
    // Before what is deferrable: these are ends of jobs, for which users wait.
    builder.addTransactions();
    if (due.pages) this.addDeferrable(builder, due.deferrable, now);
    return builder.isEmpty ? null : builder.build();
  }

  private addUrgent(builder: CommitBuilder): void {
    const { immediate, urgent } = this.context.pending;
    for (const entry of immediate) if (!this.tryAdd(builder, entry, true)) break;
    for (const entry of urgent)
      if (!builder.has(entry) && !this.tryAdd(builder, entry, true)) break;
  }

  /**
   * Where writes are scarce, deferrable entries join pages that are written anyway; they have pages of
   * their own only when nothing urgent is left or they have waited for long.
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

  /** False: the commit is full. */
  private tryAdd(builder: CommitBuilder, entry: RecordEntry, mayAddPage: boolean): boolean {
    if (this.context.pages.allocator.fitsInPage(entry))
      return builder.tryAddEntry(entry, mayAddPage);
    this.skipOversized(entry);
    return true;
  }

  /**
   * An entry that exceeds the store's limits was recorded by an earlier leader under other limits. What
   * is stored stays, as an upper bound of what runs, until a value is set that fits.
   */
  private skipOversized(entry: RecordEntry): void {
    const { pending, eventLoop } = this.context;
    pending.remove(entry);
    eventLoop.log.warn({ key: entry.key, size: entry.size }, 'record too large to be written');
  }
}
