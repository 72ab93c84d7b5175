/** Client of the state store: a consensus-backed key-value store with leases and watches. */
import type { EventLoop, EventLoopScope } from '../runtime/event-loop.js';
import type { Reply } from '../runtime/runtime.js';
import type { Settings } from '../settings/settings.js';
import {
  readWatchEvents,
  readFailedKeys,
  readKeyValue,
  isLeaseNotFound,
  readLeaseId,
  readRange,
  readRevision,
  type Condition,
  type WatchEvent,
  type KeyValue,
  type Write,
} from '../wire/state.js';
import {
  grantLeaseRequest,
  readKeyRequest,
  readRangeRequest,
  renewLeaseRequest,
  revokeLeaseRequest,
  transactionRequest,
  watchRequest,
  type StateRequest,
} from '../wire/state-requests.js';
import { CallHealth } from './call-health.js';
import { RateBudget } from './rate-budget.js';
import type { ReadResult, RenewalOutcome, TransactionResult, WatchResult } from './results.js';

const NO_RESPONSE = 0;
const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const CONFLICT = 409;
const GONE = 410;
const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;

/** Largest number of keys in one response when all keys with a prefix are read. */
const KEYS_PER_REQUEST = 1000;

/**
 * Time from the end of a watch request's hold time to its time-out, as a ratio to the leader's lease. A lost
 * response delays an election by at most this time. The time is short compared with the workers' lease.
 */
const WATCH_GRACE_RATIO = 0.7;

/** Kinds of calls. Each is also the name of the event that handles the response. */
type Operation =
  'transact' | 'read' | 'read-prefix' | 'grant-lease' | 'renew-lease' | 'revoke-lease' | 'watch';

/** All key-value pairs with a prefix. */
export interface PrefixSnapshot {
  items: KeyValue[];
  /** Revision of the response to the first request. A watch from this revision misses no change. */
  revision: number;
}

/** Changes reported by one request of a watch. */
export interface WatchedChanges {
  events: WatchEvent[];
  /** Revision from which the next request of the watch continues. */
  revision: number;
}

/**
 * Makes calls to the state store and reads their responses. `transact` and `read` do not take request
 * tokens: their callers know the call's priority and take the tokens first. All other calls are too rare
 * or too important to be delayed and take their tokens without waiting.
 */
export class StateStoreClient {
  readonly budget: RateBudget;
  readonly health: CallHealth;

  /**
   * @param eventLoop - the loop in which responses are handled
   * @param settings - limits and address of the state store
   * @param shared - the client whose budget and health this one shares; omitted for the first client
   * @param scope - once it is closed, callers get no more responses
   */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    shared?: Pick<StateStoreClient, 'budget' | 'health'>,
    private readonly scope?: EventLoopScope,
  ) {
    const now = (): number => eventLoop.now();
    this.budget = shared?.budget ?? new RateBudget(now, settings);
    this.health = shared?.health ?? new CallHealth(now);
  }

  /** Returns a client that shares the budget, and whose callers get no more responses once `scope` is closed. */
  within(scope: EventLoopScope): StateStoreClient {
    return new StateStoreClient(this.eventLoop, this.settings, this, scope);
  }

  /** Compare-and-swap transaction: carries out all writes if all conditions hold, and none otherwise. */
  transact(
    conditions: Condition[],
    writes: Write[],
    timeoutMs: number,
    done: (result: TransactionResult) => void,
  ): void {
    this.budget.recordWrites(writes.length);
    this.call('transact', transactionRequest(conditions, writes), timeoutMs, (reply) => {
      done(this.readTransactionResult(reply));
    });
  }

  /** Reads one key. The value is null if the key does not exist. */
  read(key: string, timeoutMs: number, done: (result: ReadResult<KeyValue | null>) => void): void {
    this.call('read', readKeyRequest(key), timeoutMs, (reply) => {
      if (reply.status === NOT_FOUND) done({ kind: 'ok', value: null });
      else done(this.readResult(reply, readKeyValue));
    });
  }

  /** Reads all keys with a prefix in as many requests as needed. `timeoutMs` applies to each request. */
  readPrefix(
    prefix: string,
    timeoutMs: number,
    done: (result: ReadResult<PrefixSnapshot>) => void,
  ): void {
    const items: KeyValue[] = [];
    let revision: number | null = null;
    const readAfter = (key: string | null): void => {
      const request = readRangeRequest(prefix, key, KEYS_PER_REQUEST);
      this.budget.requestTokens.forceTake();
      this.call('read-prefix', request, timeoutMs, (reply) => {
        const range = this.readResult(reply, readRange);
        if (range.kind === 'failed') return done(range);
        for (const item of range.value.items) items.push(item);
        revision ??= range.value.revision;
        const lastItem = range.value.items.at(-1);
        if (range.value.more && lastItem !== undefined) readAfter(lastItem.key);
        else done({ kind: 'ok', value: { items, revision } });
      });
    };
    readAfter(null);
  }

  /** Requests a lease with a time to live of `ttlMs`. The value of the result is the id of the lease. */
  grantLease(ttlMs: number, timeoutMs: number, done: (result: ReadResult<number>) => void): void {
    this.budget.requestTokens.forceTake();
    this.call('grant-lease', grantLeaseRequest(ttlMs), timeoutMs, (reply) => {
      done(this.readResult(reply, readLeaseId));
    });
  }

  /** Renews a lease for its full time to live. */
  renewLease(leaseId: number, timeoutMs: number, done: (outcome: RenewalOutcome) => void): void {
    this.budget.requestTokens.forceTake();
    this.call('renew-lease', renewLeaseRequest(leaseId), timeoutMs, (reply) => {
      if (reply.status === OK) done('ok');
      else done(reply.status === NOT_FOUND ? 'expired' : 'failed');
    });
  }

  /** Revokes a lease, which deletes all keys that are bound to it. */
  revokeLease(leaseId: number, timeoutMs: number, done: () => void): void {
    this.budget.requestTokens.forceTake();
    this.call('revoke-lease', revokeLeaseRequest(leaseId), timeoutMs, done);
  }

  /** Waits up to `holdMs` for changes after `revision` to keys with a prefix. */
  watch(
    prefix: string,
    revision: number,
    holdMs: number,
    done: (result: WatchResult<WatchedChanges>) => void,
  ): void {
    this.budget.requestTokens.forceTake();
    const timeoutMs = holdMs + this.settings.leaderLeaseMs * WATCH_GRACE_RATIO;
    this.call('watch', watchRequest(prefix, revision, holdMs), timeoutMs, (reply) => {
      if (reply.status === GONE) done({ kind: 'too-old' });
      else done(this.readResult(reply, readWatchEvents));
    });
  }

  private call(
    operation: Operation,
    request: StateRequest,
    timeoutMs: number,
    done: (reply: Reply) => void,
  ): void {
    const callId = operation === 'watch' ? null : this.health.startCall();
    const call = { to: this.settings.platform.stateStoreAddr, timeoutMs, ...request };
    this.eventLoop.runtime.call(call, (reply) => {
      this.eventLoop.post(operation, () => {
        if (callId !== null) this.health.endCall(callId);
        this.recordOutcome(reply);
        if (this.scope?.isClosed !== true) done(reply);
      });
    });
  }

  private recordOutcome({ status }: Reply): void {
    if (status === NO_RESPONSE || status === SERVICE_UNAVAILABLE) {
      this.health.recordFailure();
      return;
    }
    if (status !== TOO_MANY_REQUESTS) {
      this.health.recordSuccess();
      return;
    }
    if (this.budget.recordRateRefusal())
      this.eventLoop.log.info(this.budget.limits.current, 'state store has lowered its rates');
  }

  private readTransactionResult(reply: Reply): TransactionResult {
    const { status, body } = reply;
    try {
      if (status === OK) return { kind: 'ok', revision: readRevision(body) };
      if (status === CONFLICT) return { kind: 'conflict', failedKeys: readFailedKeys(body) };
    } catch (err) {
      this.logMalformed(err);
      return { kind: 'unknown' };
    }
    if (status === TOO_MANY_REQUESTS || status === SERVICE_UNAVAILABLE) return { kind: 'refused' };
    if (status !== BAD_REQUEST) return { kind: 'unknown' };
    if (isLeaseNotFound(body)) return { kind: 'lease-expired' };
    const { limits } = this.budget;
    this.eventLoop.log.warn(
      { response: body, ...limits.current },
      'state store rejected a transaction',
    );
    limits.recordSizeRefusal();
    return { kind: 'too-large' };
  }

  private readResult<Value>(reply: Reply, decode: (body: unknown) => Value): ReadResult<Value> {
    if (reply.status !== OK) return { kind: 'failed' };
    try {
      return { kind: 'ok', value: decode(reply.body) };
    } catch (err) {
      this.logMalformed(err);
      return { kind: 'failed' };
    }
  }

  private logMalformed(err: unknown): void {
    this.eventLoop.log.warn({ err }, 'malformed response from the state store');
  }
}
