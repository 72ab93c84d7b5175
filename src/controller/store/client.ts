/** Client of the state service. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Reply } from '../runtime/runtime.js';
import { TokenBucket } from '../runtime/token-bucket.js';
import { StateStoreLimits } from './limits.js';
import type { ReadResult, RenewalOutcome, TransactionResult } from './results.js';
import { DecayingRate, writeShare, type WriteDemand } from './write-share.js';
import type { Settings } from '../settings/settings.js';
import {
  readWatchEvents,
  readFailedKeys,
  readKeyValue,
  isLeaseNotFound,
  readLeaseId,
  readRange,
  readRevision,
  writeTransaction,
  type Condition,
  type WatchEvent,
  type KeyValue,
  type Write,
} from '../wire/state.js';

/**
 * Who goes without first when tokens run short: the share of the burst that a call leaves behind.
 * The lease pays in any case.
 */
export const tokenReserve = {
  /** The leader's records. */
  records: 0.02,
  /** Submissions and cancellations. */
  submissions: 0.12,
  /** Reads of how a job has ended. */
  reads: 0.2,
  /** Status queries. */
  polls: 0.3,
} as const;

/** Over which time the wish for writes is counted, and in which what waits should go out. */
const WANTED_MS = 3000;
const QUEUE_S = 2;
/**
 * A watch without an answer is given up this ratio of the leader's lease after it was to end, so that
 * one that was lost delays an election little beside the workers' lease.
 */
const WATCH_ANSWER_LEASES = 0.7;

/** Calls to the state service, paid for with tokens, their answers read. */
export class StateStoreClient {
  readonly requestTokens: TokenBucket;
  readonly writeTokens: TokenBucket;
  readonly limits: StateStoreLimits;
  private succeededAt = -Infinity;
  private failedAt = -Infinity;
  private failures = 0;
  private isLeader = false;
  private readonly writeRate: DecayingRate;
  /** Writes that wait for tokens. */
  queuedWrites = 0;
  /** When calls were sent that are not answered yet, watches left out; the oldest first. */
  private readonly openCalls = new Map<number, number>();
  private lastCall = 0;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
  ) {
    const now = (): number => eventLoop.now();
    this.limits = new StateStoreLimits(settings.platform, now, settings.workerLeaseMs * 2);
    this.requestTokens = new TokenBucket(now, 1, 1);
    this.writeTokens = new TokenBucket(now, 1, 1);
    this.writeRate = new DecayingRate(now, WANTED_MS);
    this.setRole(false);
  }

  /** The followers share a part of the requests among them; the leader has what they leave. */
  setRole(leader: boolean): void {
    const { peers } = this.settings.platform;
    const followers = this.settings.get('state.followers.requests.ratio');
    const theirs = peers.length > 0 ? followers : 0;
    const share = leader ? 1 - theirs : theirs / Math.max(1, peers.length);
    const rps = this.limits.current.rps * this.settings.get('state.headroom.ratio') * share;
    this.requestTokens.setRate(rps, rps);
    this.isLeader = leader;
    this.updateWriteShare([]);
  }

  /** What this node would write, for the others to know. */
  get writeDemand(): WriteDemand {
    return {
      isLeader: this.isLeader,
      writesPerSecond: this.writeRate.perSecond + this.queuedWrites / QUEUE_S,
    };
  }

  /** Puts are shared by what each node wants, as far as the others have told. */
  updateWriteShare(heard: readonly WriteDemand[]): void {
    const { peers } = this.settings.platform;
    const limit = this.limits.current.writeRps * this.settings.get('state.headroom.ratio');
    const parts = peers.map((_, index) => heard[index] ?? null);
    const followers = this.settings.get('state.followers.writes.ratio');
    const rate = limit * writeShare(this.writeDemand, parts, followers, limit);
    // A transaction takes all its writes at once, so the burst must hold a useful one.
    this.writeTokens.setRate(rate, Math.max(rate, 4));
  }

  /** Milliseconds since the service last carried something out for this node. */
  get sinceSuccessMs(): number {
    return this.eventLoop.now() - this.succeededAt;
  }

  /** Calls that failed since the last that did not. */
  get consecutiveFailures(): number {
    return this.failures;
  }

  /** The last calls failed: what is asked now would most likely fail too. */
  get isUnavailable(): boolean {
    return this.failures >= 2 && this.failedAt > this.succeededAt;
  }

  /** How long the service has kept an answer back while it gave no other. */
  get stalledMs(): number {
    const oldest = this.openCalls.values().next();
    if (oldest.done === true || this.succeededAt >= oldest.value) return 0;
    return this.eventLoop.now() - oldest.value;
  }

  private call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: unknown,
    timeoutMs: number,
    name: string,
    done: (reply: Reply) => void,
  ): void {
    const call = ++this.lastCall;
    if (name !== 'follow') this.openCalls.set(call, this.eventLoop.now());
    this.eventLoop.runtime.call(
      { to: this.settings.platform.stateStoreAddr, method, path, body, timeoutMs },
      (reply) => {
        this.eventLoop.post(name, () => {
          this.openCalls.delete(call);
          if (reply.status === 0 || reply.status === 503) {
            this.failures++;
            this.failedAt = this.eventLoop.now();
          } else if (reply.status === 429) {
            this.requestTokens.pauseFor(100);
            this.writeTokens.pauseFor(100);
            if (this.limits.recordRateRefusal()) {
              this.eventLoop.log.info(
                this.limits.current,
                'the state service has lowered its rates',
              );
              this.setRole(this.isLeader);
            }
          } else {
            this.failures = 0;
            this.succeededAt = this.eventLoop.now();
          }
          done(reply);
        });
      },
    );
  }

  private parse<Value>(reply: Reply, read: (body: unknown) => Value): ReadResult<Value> {
    if (reply.status !== 200) return { kind: 'failed' };
    try {
      return { kind: 'ok', value: read(reply.body) };
    } catch (err) {
      this.eventLoop.log.warn({ err }, 'broken answer from the state service');
      return { kind: 'failed' };
    }
  }

  /** Carries out all writes if all conditions hold, and none otherwise. */
  transact(
    conditions: Condition[],
    writes: Write[],
    timeoutMs: number,
    done: (result: TransactionResult) => void,
  ): void {
    this.writeRate.count(writes.length);
    this.call('POST', '/multi', writeTransaction(conditions, writes), timeoutMs, 'txn', (reply) => {
      done(this.transactionResult(reply));
    });
  }

  private transactionResult(reply: Reply): TransactionResult {
    try {
      if (reply.status === 200) return { kind: 'ok', revision: readRevision(reply.body) };
      if (reply.status === 409) return { kind: 'conflict', failedKeys: readFailedKeys(reply.body) };
    } catch (err) {
      this.eventLoop.log.warn({ err }, 'broken answer from the state service');
      return { kind: 'unknown' };
    }
    if (reply.status === 400) {
      if (isLeaseNotFound(reply.body)) return { kind: 'no-lease' };
      this.eventLoop.log.warn(
        { answer: reply.body, ...this.limits.current },
        'refused by the state service',
      );
      this.limits.recordSizeRefusal();
      return { kind: 'too-large' };
    }
    return { kind: reply.status === 429 || reply.status === 503 ? 'refused' : 'unknown' };
  }

  /** null: the key does not exist. */
  read(key: string, timeoutMs: number, done: (result: ReadResult<KeyValue | null>) => void): void {
    this.call('GET', `/keys/${key}`, undefined, timeoutMs, 'get', (reply) => {
      if (reply.status === 404) done({ kind: 'ok', value: null });
      else done(this.parse(reply, readKeyValue));
    });
  }

  /** All keys of a prefix, page by page; the revision is that of the first page. */
  readPrefix(
    prefix: string,
    timeoutMs: number,
    done: (result: ReadResult<{ items: KeyValue[]; revision: number }>) => void,
  ): void {
    const all: KeyValue[] = [];
    let revision = -1;
    const page = (from: string | null): void => {
      const after = from === null ? '' : `&from=${from}`;
      this.requestTokens.forceTake();
      this.call(
        'GET',
        `/keys?starts=${prefix}${after}&limit=1000`,
        undefined,
        timeoutMs,
        'range',
        (reply) => {
          const got = this.parse(reply, readRange);
          if (got.kind === 'failed') return done(got);
          for (const item of got.value.items) all.push(item);
          if (revision < 0) revision = got.value.revision;
          const last = got.value.items.at(-1);
          if (got.value.more && last !== undefined) page(last.key);
          else done({ kind: 'ok', value: { items: all, revision } });
        },
      );
    };
    page(null);
  }

  /** Asks for a lease of `ttlMs`; gives its id. */
  grantLease(ttlMs: number, timeoutMs: number, done: (result: ReadResult<number>) => void): void {
    this.requestTokens.forceTake();
    this.call('POST', '/holds', { life_ms: ttlMs }, timeoutMs, 'grant', (reply) => {
      done(this.parse(reply, readLeaseId));
    });
  }

  /** Renews a lease. */
  renewLease(lease: number, timeoutMs: number, done: (outcome: RenewalOutcome) => void): void {
    this.requestTokens.forceTake();
    this.call('POST', `/holds/${lease}/extend`, {}, timeoutMs, 'extend', (reply) => {
      done(reply.status === 200 ? 'ok' : reply.status === 404 ? 'ended' : 'failed');
    });
  }

  /** Ends a lease, and with it all keys that are bound to it. */
  revokeLease(lease: number, timeoutMs: number, done: () => void): void {
    this.requestTokens.forceTake();
    this.call('DELETE', `/holds/${lease}`, undefined, timeoutMs, 'revoke', done);
  }

  /** One round of a watch. `too-old`: the keys must be read again. */
  watch(
    prefix: string,
    from: number,
    holdMs: number,
    done: (
      result: ReadResult<{ events: WatchEvent[]; revision: number }> | { kind: 'too-old' },
    ) => void,
  ): void {
    this.requestTokens.forceTake();
    const path = `/follow?starts=${prefix}&from=${from}&hold_ms=${Math.round(holdMs)}`;
    const timeoutMs = holdMs + this.settings.leaderLeaseMs * WATCH_ANSWER_LEASES;
    this.call('GET', path, undefined, timeoutMs, 'follow', (reply) => {
      if (reply.status === 410) done({ kind: 'too-old' });
      else done(this.parse(reply, readWatchEvents));
    });
  }
}
