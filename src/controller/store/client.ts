/** Client of the state service. */
import type { Core } from '../core/core.js';
import type { Reply } from '../core/env.js';
import { Tokens } from '../core/tokens.js';
import { Limits } from './limits.js';
import type { ReadResult, RenewalOutcome, TransactionResult } from './results.js';
import { Rate, writeShare, type Part } from './shares.js';
import type { Settings } from '../settings/settings.js';
import {
  readEvents,
  readFailed,
  readItem,
  isNoLease,
  readLease,
  readRange,
  readRevision,
  writeTransaction,
  type Condition,
  type Event,
  type Item,
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
export class StateClient {
  readonly tokens: Tokens;
  readonly writeTokens: Tokens;
  readonly limits: Limits;
  private okAt = -Infinity;
  private failedAt = -Infinity;
  private failing = 0;
  private leads = false;
  private readonly written: Rate;
  /** Writes that wait for tokens. */
  queued = 0;
  /** When calls were sent that are not answered yet, watches left out; the oldest first. */
  private readonly open = new Map<number, number>();
  private calls = 0;

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
  ) {
    const now = (): number => core.now();
    this.limits = new Limits(settings.platform, now, settings.workerLeaseMs * 2);
    this.tokens = new Tokens(now, 1, 1);
    this.writeTokens = new Tokens(now, 1, 1);
    this.written = new Rate(now, WANTED_MS);
    this.setRole(false);
  }

  /** The followers share a part of the requests among them; the leader has what they leave. */
  setRole(leader: boolean): void {
    const { peers } = this.settings.platform;
    const followers = this.settings.get('state.followers.requests.ratio');
    const theirs = peers.length > 0 ? followers : 0;
    const share = leader ? 1 - theirs : theirs / Math.max(1, peers.length);
    const rps = this.limits.inForce.rps * this.settings.get('state.headroom.ratio') * share;
    this.tokens.setRate(rps, rps);
    this.leads = leader;
    this.shareWrites([]);
  }

  /** What this node would write, for the others to know. */
  get part(): Part {
    return { leads: this.leads, wanted: this.written.perSecond + this.queued / QUEUE_S };
  }

  /** Puts are shared by what each node wants, as far as the others have told. */
  shareWrites(heard: readonly Part[]): void {
    const { peers } = this.settings.platform;
    const limit = this.limits.inForce.writeRps * this.settings.get('state.headroom.ratio');
    const parts = peers.map((_, index) => heard[index] ?? null);
    const followers = this.settings.get('state.followers.writes.ratio');
    const rate = limit * writeShare(this.part, parts, followers, limit);
    // A transaction takes all its writes at once, so the burst must hold a useful one.
    this.writeTokens.setRate(rate, Math.max(rate, 4));
  }

  /** Milliseconds since the service last carried something out for this node. */
  get okAgeMs(): number {
    return this.core.now() - this.okAt;
  }

  /** Calls that failed since the last that did not. */
  get failingFor(): number {
    return this.failing;
  }

  /** The last calls failed: what is asked now would most likely fail too. */
  get down(): boolean {
    return this.failing >= 2 && this.failedAt > this.okAt;
  }

  /** How long the service has kept an answer back while it gave no other. */
  get stalledMs(): number {
    const oldest = this.open.values().next();
    if (oldest.done === true || this.okAt >= oldest.value) return 0;
    return this.core.now() - oldest.value;
  }

  private call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: unknown,
    timeoutMs: number,
    name: string,
    done: (reply: Reply) => void,
  ): void {
    const call = ++this.calls;
    if (name !== 'follow') this.open.set(call, this.core.now());
    this.core.env.call(
      { to: this.settings.platform.state, method, path, body, timeoutMs },
      (reply) => {
        this.core.post(name, () => {
          this.open.delete(call);
          if (reply.status === 0 || reply.status === 503) {
            this.failing++;
            this.failedAt = this.core.now();
          } else if (reply.status === 429) {
            this.tokens.rejected(100);
            this.writeTokens.rejected(100);
            if (this.limits.tooMany()) {
              this.core.log.info(this.limits.inForce, 'the state service has lowered its rates');
              this.setRole(this.leads);
            }
          } else {
            this.failing = 0;
            this.okAt = this.core.now();
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
      this.core.log.warn({ err }, 'broken answer from the state service');
      return { kind: 'failed' };
    }
  }

  /** Carries out all writes if all conditions hold, and none otherwise. */
  multi(
    conditions: Condition[],
    writes: Write[],
    timeoutMs: number,
    done: (result: TransactionResult) => void,
  ): void {
    this.written.count(writes.length);
    this.call('POST', '/multi', writeTransaction(conditions, writes), timeoutMs, 'txn', (reply) => {
      done(this.transactionResult(reply));
    });
  }

  private transactionResult(reply: Reply): TransactionResult {
    try {
      if (reply.status === 200) return { kind: 'ok', revision: readRevision(reply.body) };
      if (reply.status === 409) return { kind: 'conflict', failed: readFailed(reply.body) };
    } catch (err) {
      this.core.log.warn({ err }, 'broken answer from the state service');
      return { kind: 'unknown' };
    }
    if (reply.status === 400) {
      if (isNoLease(reply.body)) return { kind: 'no-lease' };
      this.core.log.warn(
        { answer: reply.body, ...this.limits.inForce },
        'refused by the state service',
      );
      this.limits.tooLarge();
      return { kind: 'too-large' };
    }
    return { kind: reply.status === 429 || reply.status === 503 ? 'refused' : 'unknown' };
  }

  /** null: the key does not exist. */
  get(key: string, timeoutMs: number, done: (result: ReadResult<Item | null>) => void): void {
    this.call('GET', `/keys/${key}`, undefined, timeoutMs, 'get', (reply) => {
      if (reply.status === 404) done({ kind: 'ok', value: null });
      else done(this.parse(reply, readItem));
    });
  }

  /** All keys of a prefix, page by page; the revision is that of the first page. */
  range(
    prefix: string,
    timeoutMs: number,
    done: (result: ReadResult<{ items: Item[]; revision: number }>) => void,
  ): void {
    const all: Item[] = [];
    let revision = -1;
    const page = (from: string | null): void => {
      const after = from === null ? '' : `&from=${from}`;
      this.tokens.force();
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
  grant(ttlMs: number, timeoutMs: number, done: (result: ReadResult<number>) => void): void {
    this.tokens.force();
    this.call('POST', '/holds', { life_ms: ttlMs }, timeoutMs, 'grant', (reply) => {
      done(this.parse(reply, readLease));
    });
  }

  /** Renews a lease. */
  extend(lease: number, timeoutMs: number, done: (outcome: RenewalOutcome) => void): void {
    this.tokens.force();
    this.call('POST', `/holds/${lease}/extend`, {}, timeoutMs, 'extend', (reply) => {
      done(reply.status === 200 ? 'ok' : reply.status === 404 ? 'ended' : 'failed');
    });
  }

  /** Ends a lease, and with it all keys that are bound to it. */
  revoke(lease: number, timeoutMs: number, done: () => void): void {
    this.tokens.force();
    this.call('DELETE', `/holds/${lease}`, undefined, timeoutMs, 'revoke', done);
  }

  /** One round of a watch. `too-old`: the keys must be read again. */
  follow(
    prefix: string,
    from: number,
    holdMs: number,
    done: (result: ReadResult<{ events: Event[]; revision: number }> | { kind: 'too-old' }) => void,
  ): void {
    this.tokens.force();
    const path = `/follow?starts=${prefix}&from=${from}&hold_ms=${Math.round(holdMs)}`;
    const timeoutMs = holdMs + this.settings.leaderLeaseMs * WATCH_ANSWER_LEASES;
    this.call('GET', path, undefined, timeoutMs, 'follow', (reply) => {
      if (reply.status === 410) done({ kind: 'too-old' });
      else done(this.parse(reply, readEvents));
    });
  }
}
