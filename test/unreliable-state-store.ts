/** A state store for tests of the leader's records, which loses responses and delays requests. */
import assert from 'node:assert/strict';
import { EventLoop } from '../src/controller/runtime/event-loop.js';
import { seededRandom } from '../src/controller/runtime/random.js';
import type { Runtime } from '../src/controller/runtime/runtime.js';
import { TokenBucket } from '../src/controller/runtime/token-bucket.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import type { StateLimits } from '../src/controller/settings/platform.js';
import { Settings } from '../src/controller/settings/settings.js';
import { MAX_CONDITIONS_PER_WRITE } from '../src/controller/store/batch.js';
import type { StateStoreClient } from '../src/controller/store/client.js';
import { StateStoreLimits } from '../src/controller/store/limits.js';
import { PAGE_PREFIX } from '../src/controller/store/page-codec.js';
import { storedSize } from '../src/controller/store/page.js';
import { RecordStore } from '../src/controller/store/record-store.js';
import type { ReadResult, TransactionResult } from '../src/controller/store/results.js';
import type { Condition, KeyValue, Write } from '../src/controller/wire/state.js';
import { silentLogger } from './manual-runtime.js';
import { standalonePlatform } from './platform.js';

const settings = new Settings(standalonePlatform(), defaultProperties());

/** Limits of the state store in the platform settings of the tests. */
export const { stateLimits } = settings.platform;

const LEADER_KEY = 'lead';
/** Time from a request to its response. */
const RESPONSE_MS = 5;
/** Time after which a request without a response has the result `unknown`. */
const TIMEOUT_MS = 700;
/** Longest delay before a transaction whose response is lost is applied. */
const MAX_DELAY_MS = 5000;
/** Largest allowed size of the conditions and writes of one transaction, in bytes. */
const MAX_TRANSACTION_SIZE = 64 * 1024;
/** Time after a refusal until the halved size limits are raised again, in milliseconds; longer than any test. */
const SIZE_RETRY_MS = 3_600_000;

function noop(): void {
  // Nothing to do.
}

function copyOf<Value>(value: Value): Value {
  return JSON.parse(JSON.stringify(value)) as Value;
}

/** The state store, its virtual clock, and the record store of the leader that writes to it. */
export class UnreliableStateStore {
  now = 0;
  /** Number of puts and deletes received, without those refused for their size. */
  writesReceived = 0;
  /** Number of transactions refused for their size. */
  sizeRefusals = 0;
  readonly items = new Map<string, KeyValue>();
  /** The limits that the leader assumes. */
  knownLimits: StateStoreLimits;
  records: RecordStore;
  private revision = 1;
  private timers: { dueAt: number; run: () => void }[] = [];
  private readonly random: () => number;
  private readonly eventLoop: EventLoop;

  /**
   * @param faultRate - share of the transactions for which a fault is drawn; one in five draws has no effect
   * @param limits - the limits that the store enforces
   */
  constructor(
    seed: number,
    private readonly faultRate: number,
    public limits: StateLimits = stateLimits,
  ) {
    this.knownLimits = this.createKnownLimits(limits, limits);
    this.random = seededRandom(seed);
    this.eventLoop = new EventLoop(this.createRuntime(), silentLogger);
    this.eventLoop.onBatchEnd(() => this.records.flush());
    this.records = this.electLeader();
  }

  /**
   * Returns the limits that a leader assumes before any refusal, given the limits in its settings.
   * @param retryMs - time after a refusal until the halved size limits are raised again
   */
  createKnownLimits(
    present: StateLimits,
    upcoming: StateLimits,
    retryMs = SIZE_RETRY_MS,
  ): StateStoreLimits {
    const platform = { stateLimits: present, upcomingStateLimits: upcoming };
    return new StateStoreLimits(platform, () => this.now, retryMs);
  }

  private createRuntime(): Runtime {
    return {
      startedAt: -Infinity,
      now: () => this.now,
      wallClock: () => this.now,
      random: this.random,
      defer: (fn) => this.after(0, fn),
      startTimer: (delayMs, fn) => {
        this.after(delayMs, fn);
        return { cancel: noop };
      },
      call: noop,
      sendPeer: noop,
      hasSpareConnection: () => true,
    };
  }

  private after(delayMs: number, run: () => void): void {
    this.timers.push({ dueAt: this.now + delayMs, run });
  }

  /** Flushes the records that were set, then advances the clock and runs all timers due in that time. */
  run(durationMs: number): void {
    this.eventLoop.post('records were set', noop);
    const until = this.now + durationMs;
    for (;;) {
      const next = this.timers.filter((t) => t.dueAt <= until).sort((a, b) => a.dueAt - b.dueAt)[0];
      if (next === undefined) break;
      this.timers.splice(this.timers.indexOf(next), 1);
      this.now = Math.max(this.now, next.dueAt);
      next.run();
    }
    this.now = until;
  }

  /** Elects a new leader, which loads the records that the previous leader stored. */
  electLeader(): RecordStore {
    (this.records as RecordStore | undefined)?.close();
    const version = ++this.revision;
    this.items.set(LEADER_KEY, { key: LEADER_KEY, value: 1, version });
    this.records = new RecordStore(this.eventLoop, settings, this.createClient(), {
      fencingCondition: { key: LEADER_KEY, version },
      leaseAllowsWrites: () => true,
      onFenced: noop,
    });
    const pages = [...this.items.values()].filter(({ key }) => key.startsWith(PAGE_PREFIX));
    this.records.load(copyOf(pages));
    return this.records;
  }

  private createClient(): StateStoreClient {
    const now = (): number => this.now;
    const client: Pick<StateStoreClient, 'transact' | 'read'> & { budget: object } = {
      budget: {
        requestTokens: new TokenBucket(now, 100, 100),
        writeTokens: new TokenBucket(now, 30, 30),
        queuedWrites: 0,
        limits: this.knownLimits,
      },
      transact: (conditions, writes, _timeoutMs, done) => this.transact(conditions, writes, done),
      read: (key, _timeoutMs, done) => this.read(key, done),
    };
    return client as StateStoreClient;
  }

  private read(key: string, done: (result: ReadResult<KeyValue | null>) => void): void {
    this.after(RESPONSE_MS, () =>
      this.respond(() => done({ kind: 'ok', value: this.items.get(key) ?? null })),
    );
  }

  private respond(done: () => void): void {
    this.eventLoop.post('response', done);
  }

  private transact(
    conditions: Condition[],
    writes: Write[],
    done: (result: TransactionResult) => void,
  ): void {
    const respondAfter = (delayMs: number, result: () => TransactionResult): void =>
      this.after(delayMs, () => {
        const outcome = result();
        this.respond(() => done(outcome));
      });
    this.assertKeepsKnownLimits(conditions, writes);
    if (exceedsLimits(this.limits, conditions, writes)) {
      this.sizeRefusals++;
      this.knownLimits.recordSizeRefusal();
      return respondAfter(RESPONSE_MS, () => ({ kind: 'too-large' }));
    }
    this.writesReceived += writes.length;
    const copiedWrites = copyOf(writes);
    const fault = this.nextFault();
    if (fault === 'refused') return respondAfter(RESPONSE_MS, () => ({ kind: 'refused' }));
    if (fault === null)
      return respondAfter(RESPONSE_MS, () => this.apply(conditions, copiedWrites));
    if (fault.appliedAfterMs !== null)
      this.after(fault.appliedAfterMs, () => this.apply(conditions, copiedWrites));
    respondAfter(TIMEOUT_MS, () => ({ kind: 'unknown' }));
  }

  /**
   * Draws the fault of a transaction, or null for none. A transaction with a fault is refused or gets no
   * response. Without a response, it is applied after 2 ms, within `MAX_DELAY_MS`, or never.
   */
  private nextFault(): 'refused' | { appliedAfterMs: number | null } | null {
    const draw = this.random() < this.faultRate ? this.random() : 1;
    if (draw < 0.2) return 'refused';
    if (draw < 0.4) return { appliedAfterMs: 2 };
    if (draw < 0.6) return { appliedAfterMs: MAX_DELAY_MS * this.random() };
    return draw < 0.8 ? { appliedAfterMs: null } : null;
  }

  private assertKeepsKnownLimits(conditions: Condition[], writes: Write[]): void {
    const limits = this.knownLimits.current;
    assert.ok(writes.length <= limits.txnOps);
    assert.ok(conditions.length <= MAX_CONDITIONS_PER_WRITE * limits.txnOps);
    assert.ok(storedSize([conditions, writes]) <= MAX_TRANSACTION_SIZE);
    assert.ok(
      !exceedsLimits(limits, conditions, writes),
      'the transaction exceeds the known limits',
    );
  }

  private apply(conditions: Condition[], writes: Write[]): TransactionResult {
    const failed = conditions.filter((c) => (this.items.get(c.key)?.version ?? 0) !== c.version);
    if (failed.length > 0) return { kind: 'conflict', failedKeys: failed.map((c) => c.key) };
    const version = ++this.revision;
    for (const write of writes)
      if ('put' in write)
        this.items.set(write.put, { key: write.put, value: write.value, version });
      else this.items.delete(write.delete);
    return { kind: 'ok', revision: version };
  }
}

/** Whether a transaction is larger than the limits allow. */
function exceedsLimits(limits: StateLimits, conditions: Condition[], writes: Write[]): boolean {
  const isTooLarge = (write: Write): boolean =>
    'put' in write && storedSize(write.value) > limits.valueKb * 1024;
  return (
    writes.length > limits.txnOps ||
    conditions.length > MAX_CONDITIONS_PER_WRITE * limits.txnOps ||
    writes.some(isTooLarge)
  );
}
