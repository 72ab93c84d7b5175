/** The request handling of the simulated state store, with its limits and injected faults. */
import { TokenBucket } from '../../../src/controller/runtime/token-bucket.js';
import type { Reply } from '../../../src/controller/runtime/runtime.js';
import type { StateLimits } from '../../../src/controller/settings/platform.js';
import type { IncomingRequest, Network, Respond } from '../network.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';
import { withinLimits, KeyValueStore, type Transaction, type Watch } from './key-value-store.js';
import { UnansweredWrites } from './unanswered-writes.js';

/** Time between two checks for expired leases, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 50;
/** Fraction of the responses that are delayed while the state store is slow. */
const DELAYED_RESPONSE_SHARE = 0.3;
/** Range of the delay of a delayed response while the state store is slow, in milliseconds. */
const RESPONSE_DELAY_MS = { least: 50, most: 2000 };
/**
 * Default maximum time from the arrival of a delayed transaction to its commit, in milliseconds.
 * The minimum time is a sixth of the maximum.
 */
const MAX_WRITE_DELAY_MS = 12_000;

const UNAVAILABLE: Reply = { status: 503, body: null };
const NOT_FOUND: Reply = { status: 404, body: null };
const GONE: Reply = { status: 410, body: null };
const TOO_MANY: Reply = { status: 429, body: null };

/** Simulated state store (the state service of PROTOCOL). */
export class StateStoreServer {
  private readonly store: KeyValueStore;
  private unavailable = false;
  private slowUntil = 0;
  /** Hosts whose requests are all refused. */
  private readonly refusedHosts = new Set<string>();
  private readonly requestTokens: TokenBucket;
  private readonly putTokens: TokenBucket;
  /**
   * Number of transactions refused for their size, not counting duplicates that the network
   * delivers.
   */
  tooLarge = 0;
  /** Number of requests served. */
  requests = 0;
  /** Number of watches refused because their revision is too old. */
  outdatedWatches = 0;
  /** Number of puts and deletions in the requests served. */
  puts = 0;
  /** Number of requests refused by the rate limits. */
  rateLimited = 0;
  /** Number of requests that arrived during an outage. */
  requestsInOutage = 0;
  /** Fraction of the transactions that get no response and are committed later. */
  private delayedWriteShare = 0;
  /** Maximum time from the arrival of a delayed transaction to its commit, in milliseconds. */
  maxWriteDelayMs = MAX_WRITE_DELAY_MS;
  /**
   * Number of delayed transactions that were applied in the end (`applied`), and number of delayed
   * transactions that were refused because of their conditions or the limits (`refused`).
   */
  readonly lateCommits = { applied: 0, refused: 0 };
  /** Fraction of the transactions that are committed immediately but whose response is lost. */
  private lostResponseShare = 0;
  private readonly unanswered = new UnansweredWrites();
  /** Hosts whose watches are refused, while their other requests are served. */
  private readonly watchRefusedHosts = new Set<string>();
  /**
   * Called with the keys that a transaction writes, before its size, its conditions and the rate
   * limits are checked. Not called if all requests of the host are refused.
   */
  onTransaction: (keys: readonly string[]) => void = () => undefined;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    network: Network,
    address: string,
    private limits: StateLimits,
    private readonly pageSize: number,
    firstRevision: number,
    retainedChanges?: number,
  ) {
    const now = (): number => clock.now;
    const onRead = (host: string, key: string): void => this.unanswered.recordRead(host, key);
    this.store = new KeyValueStore(now, onRead, firstRevision, retainedChanges);
    this.requestTokens = new TokenBucket(now, limits.rps, limits.rps);
    this.putTokens = new TokenBucket(now, limits.writeRps, limits.writeRps);
    network.listen(address, 'state', (from, request, respond) =>
      this.serve(from, request, respond),
    );
    this.expireLeases();
  }

  /** The stored entries by key. */
  get entries(): KeyValueStore['entries'] {
    return this.store.entries;
  }

  /**
   * Number of reads of keys whose writer got no response. Only reads by other controllers count.
   */
  get readsOfUnansweredWrites(): number {
    return this.unanswered.readByOthers;
  }

  /** Whether all requests are currently refused. */
  get inOutage(): boolean {
    return this.unavailable;
  }

  /** Refuses all requests for `ms`, then renews all leases. */
  outage(ms: number): void {
    this.unavailable = true;
    this.clock.after(ms, () => {
      this.unavailable = false;
      this.store.renewAll();
    });
  }

  /** For `ms`, delays a random share of the responses. */
  slowDown(ms: number): void {
    this.slowUntil = Math.max(this.slowUntil, this.clock.now + ms);
  }

  /** Refuses all requests of one host for `ms`, so that it cannot renew its leases. */
  refuse(host: string, ms: number): void {
    this.refusedHosts.add(host);
    this.clock.after(ms, () => this.refusedHosts.delete(host));
  }

  /** Replaces the limits by lower ones. Stored entries are not affected. */
  lowerLimits(limits: StateLimits): void {
    this.limits = limits;
    this.requestTokens.setRate(limits.rps, limits.rps);
    this.putTokens.setRate(limits.writeRps, limits.writeRps);
  }

  /** Refuses the watches of one host for `ms`, while its other requests are served. */
  refuseWatches(host: string, ms: number): void {
    this.watchRefusedHosts.add(host);
    this.clock.after(ms, () => this.watchRefusedHosts.delete(host));
  }

  /**
   * For `ms`, a share of the transactions gets no response and is committed later, possibly after
   * newer ones. A transaction whose delay ends during an outage is lost.
   */
  delayWrites(share: number, ms: number): void {
    this.delayedWriteShare = share;
    this.clock.after(ms, () => {
      this.delayedWriteShare = 0;
    });
  }

  /** For `ms`, a share of the transactions is committed immediately but gets no response. */
  loseResponses(share: number, ms: number): void {
    this.lostResponseShare = share;
    this.clock.after(ms, () => {
      this.lostResponseShare = 0;
    });
  }

  /**
   * Returns whether the requests of this host are refused although there is no outage of the whole
   * state store.
   */
  isRefusing(host: string): boolean {
    return !this.unavailable && this.refusedHosts.has(host);
  }

  private expireLeases(): void {
    this.clock.after(EXPIRY_CHECK_INTERVAL_MS, () => this.expireLeases());
    if (!this.unavailable) this.store.expireLeases();
  }

  private serve(from: string, request: IncomingRequest, respondNow: Respond): void {
    const respond = this.withRandomDelay(respondNow);
    if (this.unavailable) this.requestsInOutage++;
    if (this.unavailable || this.refusedHosts.has(from)) return respond(UNAVAILABLE);
    const transaction = request.path === '/multi' ? (request.body() as Transaction) : null;
    const writes = transaction?.writes ?? [];
    if (transaction !== null)
      this.onTransaction(writes.map((write) => write.set ?? write.delete ?? ''));
    if (!this.takeTokens(writes.length)) return respond(TOO_MANY);
    if (transaction !== null) this.serveTransaction(from, transaction, request.duplicate, respond);
    else this.serveOther(from, request, respond);
  }

  /** Delays a random share of the responses while the state store is slow. */
  private withRandomDelay(respond: Respond): Respond {
    const isDelayed =
      this.clock.now < this.slowUntil && this.random.next() < DELAYED_RESPONSE_SHARE;
    if (!isDelayed) return respond;
    const delayMs = this.random.between(RESPONSE_DELAY_MS.least, RESPONSE_DELAY_MS.most);
    return (reply) => this.clock.after(delayMs, () => respond(reply));
  }

  private takeTokens(puts: number): boolean {
    if (!this.requestTokens.tryTake() || (puts > 0 && !this.putTokens.tryTake(puts))) {
      this.rateLimited++;
      return false;
    }
    this.requests++;
    this.puts += puts;
    return true;
  }

  private serveTransaction(
    from: string,
    transaction: Transaction,
    duplicate: boolean,
    respond: Respond,
  ): void {
    const { clock, random } = this;
    if (this.delayedWriteShare > 0 && random.next() < this.delayedWriteShare) {
      const delayMs = random.between(this.maxWriteDelayMs / 6, this.maxWriteDelayMs);
      clock.after(delayMs, () => this.commitLate(transaction));
      return;
    }
    if (this.lostResponseShare > 0 && random.next() < this.lostResponseShare) {
      if (this.commit(transaction).status === 200) this.unanswered.record(from, transaction);
      return;
    }
    for (const { k } of transaction.if ?? []) this.unanswered.recordRead(from, k);
    respond(this.commit(transaction, duplicate));
  }

  private commitLate(transaction: Transaction): void {
    if (this.unavailable) return;
    if (this.commit(transaction).status === 200) this.lateCommits.applied++;
    else this.lateCommits.refused++;
  }

  private commit(transaction: Transaction, duplicate = false): Reply {
    if (withinLimits(transaction, this.limits)) return this.store.commit(transaction);
    if (!duplicate) this.tooLarge++;
    return { status: 400, body: { error: 'limits' } };
  }

  private serveOther(from: string, request: IncomingRequest, respond: Respond): void {
    const url = new URL(request.path, 'http://state');
    const path = url.pathname;
    const leaseMatch = /^\/holds\/(\d+)(\/extend)?$/.exec(path);
    if (path === '/holds') respond(this.grantLease(request));
    else if (leaseMatch !== null) respond(this.serveLease(Number(leaseMatch[1]), request));
    else if (path === '/follow') this.serveWatch(from, url.searchParams, respond);
    else if (path === '/keys') respond(this.readPage(url.searchParams));
    else {
      const key = path.slice('/keys/'.length);
      this.unanswered.recordRead(from, key);
      respond(this.store.read(key));
    }
  }

  private grantLease(request: IncomingRequest): Reply {
    const { life_ms: lifeMs } = request.body() as { life_ms: number };
    return { status: 200, body: { permit: this.store.grant(lifeMs) } };
  }

  private serveLease(id: number, request: IncomingRequest): Reply {
    const exists = request.method === 'DELETE' ? this.store.revoke(id) : this.store.renew(id);
    return exists ? { status: 200, body: { permit: id } } : NOT_FOUND;
  }

  private readPage(query: URLSearchParams): Reply {
    const limit = Math.min(Number(query.get('limit')), this.pageSize);
    return this.store.readPage(query.get('starts') ?? '', query.get('from') ?? '', limit);
  }

  private serveWatch(from: string, query: URLSearchParams, respond: Respond): void {
    if (this.watchRefusedHosts.has(from)) return respond(UNAVAILABLE);
    const watch: Watch = {
      watcher: from,
      prefix: query.get('starts') ?? '',
      afterRevision: Number(query.get('from')),
      respond,
      open: true,
    };
    if (!this.store.watch(watch)) {
      this.outdatedWatches++;
      return respond(GONE);
    }
    this.clock.after(Number(query.get('hold_ms')), () => {
      if (!this.unavailable) this.store.closeWatch(watch);
    });
  }
}
