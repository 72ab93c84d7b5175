/** Decides when the leader's records are committed, and what goes into the next commit. */
import type { Condition } from '../wire/state.js';
import { CommitBuilder, type Commit } from './commit-builder.js';
import type { RecordEntry } from './page.js';
import type { RecordStoreContext } from './record-store-context.js';

/** For this share of a worker's lease, lazy entries leave the puts to urgent ones. */
const MAX_DEFERRAL_RATIO = 0.25;

/**
 * Share of the leader's puts that pages take while something urgent is always waiting; the rest is
 * for jobs' ends, so that neither starves the other.
 */
const PAGE_WRITES_RATIO = 0.45;

/** What may be committed now, transactions aside. */
export interface DueWrites {
  pages: boolean;
  /** Lazy entries may have pages of their own. */
  deferrable: boolean;
}

/** Shares the puts between pages and transactions, and among entries by their urgency. */
export class CommitPlanner {
  private pagesDueAt = 0;
  private deferrableDueAt = 0;
  /** When lazy entries last had pages of their own. */
  private deferrablePagesAt = 0;

  constructor(private readonly context: RecordStoreContext) {}

  /** What may be committed at `now`. */
  due(now: number): DueWrites {
    const deferrable = this.context.pending.deferrable.size > 0 && now >= this.deferrableDueAt;
    const pages = now >= this.pagesDueAt && (this.context.pending.urgent.size > 0 || deferrable);
    return { pages, deferrable };
  }

  /** When pages that wait now may be committed. */
  get nextPagesDueAt(): number {
    if (this.context.pending.urgent.size > 0) return this.pagesDueAt;
    return Math.max(this.pagesDueAt, this.deferrableDueAt);
  }

  /** Lets the next pages go without waiting for their share of the puts. */
  allowPagesNow(): void {
    this.pagesDueAt = 0;
  }

  /** Least time between two commits of pages that keeps within their share of the puts. */
  private get minPageIntervalMs(): number {
    return 1000 / (this.context.client.budget.writeTokens.perSecond * PAGE_WRITES_RATIO);
  }

  /** The next commit, or null where there are no write tokens for any part of it. */
  plan(due: DueWrites, fence: Condition): Commit | null {
    const now = this.context.eventLoop.now();
    const builder = new CommitBuilder(this.context, fence);
    if (due.pages) {
      this.pagesDueAt = now + this.minPageIntervalMs;
      this.addUrgent(builder);
    }
    // Ends of jobs: their users are waiting.
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
   * Where puts are short, what is lazy goes along on pages that go out anyway, and has pages of its
   * own only when nothing urgent is left or it has waited for long.
   */
  private addDeferrable(builder: CommitBuilder, due: boolean, now: number): void {
    if (due)
      this.deferrableDueAt = now + this.context.settings.get('placement.hold.record.s') * 1000;
    const ownPages = due && (this.allUrgentIn(builder) || this.deferrableWaitedLong(now));
    if (ownPages) this.deferrablePagesAt = now;
    for (const entry of this.context.pending.deferrable)
      if (!this.tryAdd(builder, entry, ownPages)) break;
  }

  private allUrgentIn(builder: CommitBuilder): boolean {
    for (const entry of this.context.pending.urgent) if (!builder.has(entry)) return false;
    return true;
  }

  private deferrableWaitedLong(now: number): boolean {
    return now - this.deferrablePagesAt > this.context.settings.workerLeaseMs * MAX_DEFERRAL_RATIO;
  }

  /** False: no room is left in this commit. */
  private tryAdd(builder: CommitBuilder, entry: RecordEntry, newPages: boolean): boolean {
    if (this.context.pages.fitsInPage(entry)) return builder.tryAddEntry(entry, newPages);
    this.skipOversized(entry);
    return true;
  }

  /**
   * Larger than the service takes: of a leader before, under other limits. What is stored is left as
   * it is, an upper bound of what runs, until a value is set that fits.
   */
  private skipOversized(entry: RecordEntry): void {
    this.context.pending.remove(entry);
    this.context.eventLoop.log.warn(
      { key: entry.key, bytes: entry.bytes },
      'record too large to be written',
    );
  }
}
