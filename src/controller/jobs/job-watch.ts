/** The leader's watch on the active jobs, with a bound on its staleness. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { KeyValue, WatchEvent } from '../wire/state.js';
import { ACTIVE_PREFIX } from './job-records.js';

/** Receives what the watch reads. */
export interface JobWatchHandler {
  /** The active records of all jobs, read anew: any other job has ended. */
  onSnapshot(items: KeyValue[]): void;
  /** Changes of active records, in their order. */
  onEvents(events: WatchEvent[]): void;
}

/** A watch request without a response for this many times its hold is taken for lost. */
const LOST_AFTER_HOLDS = 2;
/** Watch requests in a heartbeat interval, at most: changes that come together are taken together. */
const WATCHES_PER_HEARTBEAT = 20;
/** Attempts to read all active records in a heartbeat interval, at most. */
const SNAPSHOTS_PER_HEARTBEAT = 10;

/**
 * Which jobs are active, as the state store tells, and how old that knowledge is (invariant 8).
 *
 * A worker that gets a response goes on with what it runs for a whole lease. So whoever responds
 * guarantees that every cancellation confirmed to a user is known here, or is younger than a bound
 * from the settings (`Settings.maxWatchStalenessMs`). The leader's own lease doesn't prove that: it
 * may be renewed while watches are refused, delayed or slow. What proves it is a read of the state
 * store that has been answered: it shows all that was confirmed before the read was sent.
 */
export class JobWatch {
  /** Everything that was confirmed by then is known; on this node's steady clock. */
  private lastReadSentAt = -Infinity;
  /** Knowledge from before then doesn't count: there was a gap. */
  private minReadSentAt = -Infinity;
  /** Of the last read; -1: none yet. */
  private lastRevision = -1;
  /** Responses and timers of earlier requests are ignored. */
  private lastRequestNumber = 0;
  private closed = false;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'after'>,
    private readonly settings: Pick<
      Settings,
      'leaderLeaseMs' | 'heartbeatIntervalMs' | 'maxWatchStalenessMs'
    >,
    private readonly client: Pick<StateStoreClient, 'watch' | 'readPrefix'>,
    private readonly handler: JobWatchHandler,
  ) {}

  /** Starts to watch, after all active records were read with this revision by a read sent then. */
  start(revision: number, sentAt: number): void {
    this.lastRevision = revision;
    this.lastReadSentAt = Math.max(this.lastReadSentAt, sentAt);
    this.watch(this.holdMs);
  }

  /** Ends the watch: the handler is not called any more. */
  close(): void {
    this.closed = true;
  }

  /** Whether workers may be answered, and anything commanded or placed, on what is known. */
  get isFresh(): boolean {
    return (
      this.lastReadSentAt >= this.minReadSentAt &&
      this.stalenessMs <= this.settings.maxWatchStalenessMs
    );
  }

  /** Milliseconds since the last time of which everything is known. */
  get stalenessMs(): number {
    return this.eventLoop.now() - this.lastReadSentAt;
  }

  /**
   * There was a gap, in the leader's lease for instance: what is known is fresh again only once a
   * read that is sent from now on has been answered.
   */
  requireFreshRead(): void {
    this.minReadSentAt = this.eventLoop.now();
    if (this.lastRevision >= 0) this.watch(0);
  }

  /** How long the state store is asked to hold a watch request that has no changes to tell. */
  private get holdMs(): number {
    return this.settings.leaderLeaseMs;
  }

  private watch(holdMs: number): void {
    if (this.closed) return;
    const requestNumber = ++this.lastRequestNumber;
    const sentAt = this.eventLoop.now();
    // A lost request must not keep the next one waiting for as long as its time-out lasts.
    if (holdMs > 0) this.schedule(requestNumber, holdMs * LOST_AFTER_HOLDS, () => this.watch(0));
    this.client.watch(ACTIVE_PREFIX, this.lastRevision, holdMs, (result) => {
      if (!this.isCurrent(requestNumber)) return;
      if (result.kind === 'too-old') return this.readSnapshot();
      if (result.kind === 'failed')
        return this.schedule(requestNumber, this.watchIntervalMs, () => this.watch(0));
      this.lastRevision = Math.max(this.lastRevision, result.value.revision);
      this.lastReadSentAt = Math.max(this.lastReadSentAt, sentAt);
      this.handler.onEvents(result.value.events);
      this.schedule(requestNumber, this.watchIntervalMs, () => this.watch(this.holdMs));
    });
  }

  /** Reads all active records: the state store has forgotten the changes since the last read. */
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

  /** Runs the step after the delay, unless another request is sent before. */
  private schedule(requestNumber: number, delayMs: number, step: () => void): void {
    this.eventLoop.after(delayMs, 'follow-jobs', () => {
      if (this.isCurrent(requestNumber)) step();
    });
  }

  private isCurrent(requestNumber: number): boolean {
    return !this.closed && requestNumber === this.lastRequestNumber;
  }
}
