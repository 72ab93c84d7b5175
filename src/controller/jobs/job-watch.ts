/** The leader's watch on the active jobs, which tracks how stale its view is. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { KeyValue, WatchEvent } from '../wire/state.js';
import { ACTIVE_PREFIX } from './job-records.js';

/** Receives the results of the watch. */
export interface JobWatchHandler {
  /** Receives the active records of all jobs. Any job that is not among them has ended. */
  onSnapshot(items: KeyValue[]): void;
  /** Receives changes of active records in the order in which they were made. */
  onEvents(events: WatchEvent[]): void;
}

/** A watch request counts as lost if it has no response after this many times its hold time. */
const LOST_AFTER_HOLDS = 2;
/**
 * Maximum number of watch requests per heartbeat interval. Pausing between two requests lets one
 * response carry several changes.
 */
const WATCHES_PER_HEARTBEAT = 20;
/** Maximum number of attempts per heartbeat interval to read all active records. */
const SNAPSHOTS_PER_HEARTBEAT = 10;

/**
 * Largest delay before all active records are read again, if watches are too old several times in a row, as a
 * share of the maximum staleness.
 */
const MAX_SNAPSHOT_DELAY_RATIO = 1 / 4;

/**
 * Follows the active records in the state store, and measures how stale its view of them may be.
 *
 * A worker that receives a response keeps its tasks running for another worker lease. A node may
 * therefore answer a worker only if it knows every cancellation that was confirmed to a user more
 * than `Settings.maxWatchStalenessMs` ago (invariant 8). Holding the leader's lease doesn't
 * guarantee this, because the lease may be renewed while watch requests are refused, delayed or
 * slow. An answered read of the state store guarantees it, because the response shows everything
 * that was confirmed before the read was sent.
 */
export class JobWatch {
  /** When the latest answered read was sent, by this node's monotonic clock. */
  private lastReadSentAt = -Infinity;
  /** Reads that were sent before this time don't make the view fresh; see `requireFreshRead`. */
  private minReadSentAt = -Infinity;
  /** Revision of the last read; -1 before the first one. */
  private lastRevision = -1;
  /** Number of the last request. Responses and timers of earlier requests are ignored. */
  private lastRequestNumber = 0;
  private closed = false;
  /** Number of watches in a row that were too old, because the state store retains few changes. */
  private outdatedWatches = 0;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'after'>,
    private readonly settings: Pick<
      Settings,
      'leaderLeaseMs' | 'heartbeatIntervalMs' | 'maxWatchStalenessMs'
    >,
    private readonly client: Pick<StateStoreClient, 'watch' | 'readPrefix'>,
    private readonly handler: JobWatchHandler,
  ) {}

  /**
   * Starts to watch for changes made after a read of all active records.
   *
   * @param revision - revision of the state store that the read returned
   * @param sentAt - when the read was sent, by this node's monotonic clock
   */
  start(revision: number, sentAt: number): void {
    this.lastRevision = revision;
    this.lastReadSentAt = Math.max(this.lastReadSentAt, sentAt);
    this.watch(this.holdMs);
  }

  /** Stops the watch. The handler is not called afterwards. */
  close(): void {
    this.closed = true;
  }

  /**
   * True if the view is recent enough to answer workers, send commands and place tasks. This node
   * then knows every cancellation that was confirmed more than `Settings.maxWatchStalenessMs` ago
   * (invariant 8).
   */
  get isFresh(): boolean {
    return (
      this.lastReadSentAt >= this.minReadSentAt &&
      this.stalenessMs <= this.settings.maxWatchStalenessMs
    );
  }

  /** Milliseconds since the latest answered read was sent. */
  get stalenessMs(): number {
    return this.eventLoop.now() - this.lastReadSentAt;
  }

  /**
   * Treats the view as stale until a read that is sent after this call is answered. Called after an
   * interruption, for instance when the leader's lease had expired before it was renewed.
   */
  requireFreshRead(): void {
    this.minReadSentAt = this.eventLoop.now();
    if (this.lastRevision >= 0) this.watch(0);
  }

  /** How long the state store is asked to hold a watch request while there are no changes. */
  private get holdMs(): number {
    return this.settings.leaderLeaseMs;
  }

  private watch(holdMs: number): void {
    if (this.closed) return;
    const requestNumber = ++this.lastRequestNumber;
    const sentAt = this.eventLoop.now();
    // Don't wait for the time-out of a lost request before sending the next one.
    if (holdMs > 0) this.schedule(requestNumber, holdMs * LOST_AFTER_HOLDS, () => this.watch(0));
    this.client.watch(ACTIVE_PREFIX, this.lastRevision, holdMs, (result) => {
      if (!this.isCurrent(requestNumber)) return;
      if (result.kind === 'too-old') return this.watchOutdated(requestNumber);
      if (result.kind === 'failed')
        return this.schedule(requestNumber, this.watchIntervalMs, () => this.watch(0));
      this.outdatedWatches = 0;
      this.lastRevision = Math.max(this.lastRevision, result.value.revision);
      this.lastReadSentAt = Math.max(this.lastReadSentAt, sentAt);
      this.handler.onEvents(result.value.events);
      this.schedule(requestNumber, this.watchIntervalMs, () => this.watch(this.holdMs));
    });
  }

  /** Reads all active records, at once for the first watch that is too old, then after growing delays. */
  private watchOutdated(requestNumber: number): void {
    const maxDelayMs = this.settings.maxWatchStalenessMs * MAX_SNAPSHOT_DELAY_RATIO;
    const delayMs = Math.min(maxDelayMs, this.snapshotIntervalMs * 2 ** this.outdatedWatches);
    this.outdatedWatches++;
    if (this.outdatedWatches === 1) this.readSnapshot();
    else this.schedule(requestNumber, delayMs, () => this.readSnapshot());
  }

  /**
   * Reads all active records. Called if the state store can't report all changes since the last
   * read.
   */
  private readSnapshot(): void {
    const requestNumber = ++this.lastRequestNumber;
    const sentAt = this.eventLoop.now();
    this.client.readPrefix(ACTIVE_PREFIX, this.holdMs, (result) => {
      if (!this.isCurrent(requestNumber)) return;
      if (result.kind === 'failed')
        return this.schedule(requestNumber, this.snapshotIntervalMs, () => this.readSnapshot());
      this.handler.onSnapshot(result.value.items);
      this.start(result.value.revision, sentAt);
    });
  }

  private get watchIntervalMs(): number {
    return this.settings.heartbeatIntervalMs / WATCHES_PER_HEARTBEAT;
  }

  private get snapshotIntervalMs(): number {
    return this.settings.heartbeatIntervalMs / SNAPSHOTS_PER_HEARTBEAT;
  }

  /** Runs the step after the delay, unless another request has been sent by then. */
  private schedule(requestNumber: number, delayMs: number, step: () => void): void {
    this.eventLoop.after(delayMs, 'follow-jobs', () => {
      if (this.isCurrent(requestNumber)) step();
    });
  }

  private isCurrent(requestNumber: number): boolean {
    return !this.closed && requestNumber === this.lastRequestNumber;
  }
}
