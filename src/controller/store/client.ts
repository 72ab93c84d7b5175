import type { Core } from '../core/core.js';
import type { Reply } from '../core/env.js';
import { Tokens } from '../core/tokens.js';
import { Limits } from './limits.js';
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
export const reserve = { records: 0.02, submissions: 0.12, reads: 0.2, polls: 0.3, watches: 0.25 };

/** Over which time the wish for writes is counted, and in which what waits should go out. */
const WANTED_MS = 3000;
const QUEUE_S = 2;
/**
 * A watch without an answer is given up this ratio of the leader's lease after it was to end, so that
 * one that was lost delays an election little beside the workers' lease.
 */
const WATCH_ANSWER_LEASES = 0.7;

export type TxnResult =
  | { kind: 'ok'; revision: number }
  | { kind: 'conflict'; failed: string[] }
  /** Surely not carried out: no tokens, 429 or 503. */
  | { kind: 'refused' }
  /** The lease named in a put has ended. Not carried out. */
  | { kind: 'no-lease' }
  /** A value or the whole is larger than the service takes, or it finds fault. Not carried out. */
  | { kind: 'too-large' }
  /** No response: carried out, or not, or later. */
  | { kind: 'unknown' };

export type Read<T> = { kind: 'ok'; value: T } | { kind: 'failed' };

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
    const parts = peers.map((_, i) => heard[i] ?? null);
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
    done: (r: Reply) => void,
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

  private parse<T>(reply: Reply, read: (body: unknown) => T): Read<T> {
    if (reply.status !== 200) return { kind: 'failed' };
    try {
      return { kind: 'ok', value: read(reply.body) };
    } catch (err) {
      this.core.log.warn({ err }, 'broken answer from the state service');
      return { kind: 'failed' };
    }
  }

  multi(
    conditions: Condition[],
    writes: Write[],
    timeoutMs: number,
    done: (r: TxnResult) => void,
  ): void {
    this.written.count(writes.length);
    this.call('POST', '/multi', writeTransaction(conditions, writes), timeoutMs, 'txn', (r) => {
      done(this.txnResult(r));
    });
  }

  private txnResult(r: Reply): TxnResult {
    try {
      if (r.status === 200) return { kind: 'ok', revision: readRevision(r.body) };
      if (r.status === 409) return { kind: 'conflict', failed: readFailed(r.body) };
    } catch (err) {
      this.core.log.warn({ err }, 'broken answer from the state service');
      return { kind: 'unknown' };
    }
    if (r.status === 400) {
      if (isNoLease(r.body)) return { kind: 'no-lease' };
      this.core.log.warn(
        { answer: r.body, ...this.limits.inForce },
        'refused by the state service',
      );
      this.limits.tooLarge();
      return { kind: 'too-large' };
    }
    return { kind: r.status === 429 || r.status === 503 ? 'refused' : 'unknown' };
  }

  /** null: the key does not exist. */
  get(key: string, timeoutMs: number, done: (r: Read<Item | null>) => void): void {
    this.call('GET', `/keys/${key}`, undefined, timeoutMs, 'get', (r) => {
      if (r.status === 404) done({ kind: 'ok', value: null });
      else done(this.parse(r, readItem));
    });
  }

  /** All keys of a prefix, page by page; the revision is that of the first page. */
  range(
    prefix: string,
    timeoutMs: number,
    done: (r: Read<{ items: Item[]; revision: number }>) => void,
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
        (r) => {
          const got = this.parse(r, readRange);
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

  grant(ttlMs: number, timeoutMs: number, done: (r: Read<number>) => void): void {
    this.tokens.force();
    this.call('POST', '/holds', { life_ms: ttlMs }, timeoutMs, 'grant', (r) => {
      done(this.parse(r, readLease));
    });
  }

  extend(lease: number, timeoutMs: number, done: (r: 'ok' | 'ended' | 'failed') => void): void {
    this.tokens.force();
    this.call('POST', `/holds/${lease}/extend`, {}, timeoutMs, 'extend', (r) => {
      done(r.status === 200 ? 'ok' : r.status === 404 ? 'ended' : 'failed');
    });
  }

  revoke(lease: number, timeoutMs: number, done: () => void): void {
    this.tokens.force();
    this.call('DELETE', `/holds/${lease}`, undefined, timeoutMs, 'revoke', done);
  }

  /** One round of a watch. `too-old`: the keys must be read again. */
  follow(
    prefix: string,
    from: number,
    holdMs: number,
    done: (r: Read<{ events: Event[]; revision: number }> | { kind: 'too-old' }) => void,
  ): void {
    this.tokens.force();
    const path = `/follow?starts=${prefix}&from=${from}&hold_ms=${Math.round(holdMs)}`;
    const timeoutMs = holdMs + this.settings.leaderLeaseMs * WATCH_ANSWER_LEASES;
    this.call('GET', path, undefined, timeoutMs, 'follow', (r) => {
      if (r.status === 410) done({ kind: 'too-old' });
      else done(this.parse(r, readEvents));
    });
  }
}
