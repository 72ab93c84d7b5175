/** Watches the leader key while this node is a follower. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { ReadResult } from '../store/results.js';
import type { KeyValue, WatchEvent } from '../wire/state.js';
import { HandOverBackoff } from './hand-over-backoff.js';
import { LEADER_KEY, readLeaderRecord, type LeaderRecord } from './leader-record.js';

/** Name in the log of the timer that reads the leader key again. */
const OBSERVE_EVENT = 'observe-leader';

/** Minimum delay before the leader key is read again, as a share of the duration of the leader's lease. */
const RETRY_RATIO = 0.04;
/**
 * Maximum random jitter added to the delay before the leader key is read again, as a share of the duration of
 * the leader's lease.
 */
const RETRY_JITTER_RATIO = 0.04;

/** Callbacks of the watch to its owner. */
export interface LeaderWatchEvents {
  /** Whether this node is not the leader and has no election in progress. Only then is the key observed. */
  isFollower(): boolean;
  /** The leader key was read or has changed; null if its value is not a leader record. */
  leaderChanged(leader: LeaderRecord | null): void;
  /** The leader key does not exist: there is no leader. */
  leaderGone(): void;
  /** This node should run for leader now. */
  electionDue(): void;
}

/** Reads the leader key and then watches it for changes, with one request at a time. */
export class LeaderWatch {
  private isObserving = false;
  /** Revision up to which the last watch or range read has shown all changes of the key. */
  private lastRevision = 0;
  private readonly backoff = new HandOverBackoff();

  /** @param identity - distinguishes this process from earlier processes on the same host */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    private readonly identity: string,
    private readonly events: LeaderWatchEvents,
  ) {}

  /** Reads the key and then watches it, unless a request is in progress or this node is not a follower. */
  observe(): void {
    if (this.isObserving || !this.events.isFollower()) return;
    this.isObserving = true;
    this.client.budget.requestTokens.forceTake();
    this.client.read(LEADER_KEY, this.timeoutMs, (result) => {
      this.isObserving = false;
      if (this.events.isFollower()) this.keyRead(result);
    });
  }

  /** Calls `observe` after a delay with jitter. */
  retry(): void {
    const { leaderLeaseMs } = this.settings;
    const jitter = RETRY_JITTER_RATIO * this.eventLoop.runtime.random();
    this.observeAfter(leaderLeaseMs * (RETRY_RATIO + jitter));
  }

  /**
   * Called after a handover. This node then waits once before it takes a free leader key, so that another node
   * can take the key first.
   */
  backOff(): void {
    this.backoff.begin(this.eventLoop.now() + this.settings.workerLeaseMs);
  }

  private get timeoutMs(): number {
    return this.settings.leaderLeaseMs / 4;
  }

  private observeAfter(delayMs: number): void {
    this.eventLoop.after(delayMs, OBSERVE_EVENT, () => this.observe());
  }

  private keyRead(result: ReadResult<KeyValue | null>): void {
    if (result.kind === 'failed') this.retry();
    else this.leaderRead(result.value);
  }

  private leaderRead(item: KeyValue | null): void {
    if (item === null) return this.keyFree();
    this.backoff.keyTaken();
    const leader = readLeaderRecord(item.value, item.version);
    if (leader === null) return this.retry();
    if (this.isOfPreviousProcess(leader)) return this.revokeLeaseOf(leader);
    this.events.leaderChanged(leader);
    this.watch(Math.max(item.version, this.lastRevision));
  }

  /**
   * Reads the key and the present revision, to watch from there. Called if the state store does not retain the
   * changes since the revision of the watch, such as that at which a long-serving leader created the key.
   */
  private readWithRevision(): void {
    this.isObserving = true;
    this.client.readPrefix(LEADER_KEY, this.timeoutMs, (result) => {
      this.isObserving = false;
      if (!this.events.isFollower()) return;
      if (result.kind === 'failed') return this.retry();
      this.lastRevision = Math.max(this.lastRevision, result.value.revision);
      this.leaderRead(result.value.items.find(({ key }) => key === LEADER_KEY) ?? null);
    });
  }

  /** Whether an earlier process on this host created the key. That process has ended: only one runs at a time. */
  private isOfPreviousProcess(leader: LeaderRecord): boolean {
    return leader.host === this.settings.platform.host && leader.identity !== this.identity;
  }

  private revokeLeaseOf(leader: LeaderRecord): void {
    this.eventLoop.log.info({ term: leader.term }, 'revoking the lease of the previous process');
    this.client.revokeLease(leader.leaseId, this.timeoutMs, () => this.observe());
  }

  /** Waits for a change of the key after the given revision. */
  private watch(revision: number): void {
    this.isObserving = true;
    this.client.watch(LEADER_KEY, revision, this.settings.leaderLeaseMs, (result) => {
      this.isObserving = false;
      if (!this.events.isFollower()) return;
      if (result.kind === 'too-old') return this.readWithRevision();
      if (result.kind === 'failed') return this.retry();
      this.lastRevision = Math.max(revision, result.value.revision);
      this.watchAnswered(result.value.events, this.lastRevision);
    });
  }

  private watchAnswered(events: readonly WatchEvent[], revision: number): void {
    const lastEvent = events.filter((event) => event.key === LEADER_KEY).at(-1);
    if (lastEvent === undefined) this.watch(revision);
    else if (lastEvent.kind === 'put') {
      this.events.leaderChanged(readLeaderRecord(lastEvent.value, lastEvent.version));
      this.watch(revision);
    } else this.keyFree();
  }

  private keyFree(): void {
    this.events.leaderGone();
    if (!this.backoff.shouldWait(this.eventLoop.now())) return this.events.electionDue();
    this.observeAfter(this.settings.leaderLeaseMs / 2);
  }
}
