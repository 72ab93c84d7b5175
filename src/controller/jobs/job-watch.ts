/** The leader's watch on the jobs that have not ended. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { WatchEvent, KeyValue } from '../wire/state.js';
import { ACTIVE_PREFIX } from './job-records.js';

/** What the feed tells the leader. */
export interface JobWatchHandler {
  /** Every job that has not ended, and nothing else is live: read anew. */
  onSnapshot(items: KeyValue[]): void;
  /** Changes of live records, in their order. */
  onEvents(events: WatchEvent[]): void;
}

/** A watch that has been open for this many times its hold has been lost. */
const LOST_WATCH_HOLDS = 2;

/**
 * The leader's view of which jobs are live, as the state service tells it, and how old that view is.
 *
 * A worker that is answered goes on with what it runs for a whole lease. So whoever answers vouches
 * that every cancellation confirmed to a user is known here, or is younger than a bound from the
 * settings (`Settings.viewMs`). The leader's own lease doesn't prove that: it may be renewed while
 * watches are refused, held up or slow. What proves it is a read of the state service that has been
 * answered: it shows all that was confirmed before the read was sent.
 */
export class JobWatch {
  /** All that was confirmed by then is known, on this node's clock. */
  private freshAsOf = -Infinity;
  /** Nothing may be done on a view from before then: there was a gap. */
  private requiredReadAt = -Infinity;
  private revision = -1;
  /** Guards against answers to reads that later ones have replaced. */
  private requestNumber = 0;
  private closed = false;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    private readonly handler: JobWatchHandler,
  ) {}

  /** Nothing is told any more. */
  close(): void {
    this.closed = true;
  }

  /** Takes up from what was read of all jobs by a read sent at `sentAt`. */
  start(revision: number, sentAt: number): void {
    this.revision = revision;
    this.freshAsOf = Math.max(this.freshAsOf, sentAt);
    this.watch(this.holdMs);
  }

  /** Whether a worker may be answered, or anything ordered or placed, on this view. */
  get isFresh(): boolean {
    return (
      this.freshAsOf >= this.requiredReadAt && this.stalenessMs <= this.settings.maxWatchStalenessMs
    );
  }

  /** Time since the last moment of which everything is known. */
  get stalenessMs(): number {
    return this.eventLoop.now() - this.freshAsOf;
  }

  /** There was a gap: the view counts again once a read that is sent from now on has come back. */
  requireFreshRead(): void {
    this.requiredReadAt = this.eventLoop.now();
    if (this.revision >= 0) this.watch(0);
  }

  private get holdMs(): number {
    return this.settings.leaderLeaseMs;
  }

  private schedule(round: number, ms: number, next: () => void): void {
    this.eventLoop.after(ms, 'follow-jobs', () => {
      if (!this.closed && round === this.requestNumber) next();
    });
  }

  /** A watch that asks to be held for `holdMs` at most. */
  private watch(holdMs: number): void {
    if (this.closed) return;
    const round = ++this.requestNumber;
    const sentAt = this.eventLoop.now();
    // One that gets lost must not keep the next from being asked for as long as its time-out lasts.
    if (holdMs > 0) this.schedule(round, holdMs * LOST_WATCH_HOLDS, () => this.watch(0));
    this.client.watch(ACTIVE_PREFIX, this.revision, holdMs, (got) => {
      if (this.closed || round !== this.requestNumber) return;
      if (got.kind === 'too-old') return this.readSnapshot();
      if (got.kind === 'failed')
        return this.schedule(round, this.settings.heartbeatIntervalMs / 20, () => this.watch(0));
      this.revision = Math.max(this.revision, got.value.revision);
      this.freshAsOf = Math.max(this.freshAsOf, sentAt);
      this.handler.onEvents(got.value.events);
      // Changes that come together are taken together.
      this.schedule(round, this.settings.heartbeatIntervalMs / 20, () => this.watch(this.holdMs));
    });
  }

  private readSnapshot(): void {
    const round = ++this.requestNumber;
    const sentAt = this.eventLoop.now();
    this.client.readPrefix(ACTIVE_PREFIX, this.holdMs, (got) => {
      if (this.closed || round !== this.requestNumber) return;
      if (got.kind === 'failed')
        return this.schedule(round, this.settings.heartbeatIntervalMs / 10, () =>
          this.readSnapshot(),
        );
      this.handler.onSnapshot(got.value.items);
      this.start(got.value.revision, sentAt);
    });
  }
}
