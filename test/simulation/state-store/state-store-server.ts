/** The simulated state store as controllers reach it: its paths, its limits and its faults. */
import { TokenBucket } from '../../../src/controller/runtime/token-bucket.js';
import type { Reply } from '../../../src/controller/runtime/runtime.js';
import type { StateLimits } from '../../../src/controller/settings/platform.js';
import type { IncomingRequest, Network, Respond } from '../network.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';
import { withinLimits, KeyValueStore, type Transaction, type Watch } from './key-value-store.js';
import { UnansweredWrites } from './unanswered-writes.js';

const EXPIRY_CHECK_INTERVAL_MS = 50;
/** Share of the responses that are late while the state store is slow, and by how much. */
const DELAYED_RESPONSE_SHARE = 0.3;
const RESPONSE_DELAY_MS = { least: 50, most: 2000 };
/** A late transaction is committed within this time, and not before a sixth of it. */
const MAX_WRITE_DELAY_MS = 12_000;

const UNAVAILABLE: Reply = { status: 503, body: null };
const NOT_FOUND: Reply = { status: 404, body: null };
const GONE: Reply = { status: 410, body: null };
const TOO_MANY: Reply = { status: 429, body: null };

/** Stand-in for the state store (the state service of the protocol). */
export class StateStoreServer {
  private readonly store: KeyValueStore;
  private unavailable = false;
  private slowUntil = 0;
  /** Hosts of which all requests are refused. */
  private readonly refusedHosts = new Set<string>();
  private readonly requestTokens: TokenBucket;
  private readonly putTokens: TokenBucket;
  /** Transactions refused for their size; copies that the network made of older ones aside. */
  tooLarge = 0;
  /** Requests served. */
  requests = 0;
  /** Puts and deletions in them. */
  puts = 0;
  /** Requests refused for being too many. */
  rateLimited = 0;
  /** Requests that came in an outage. */
  requestsInOutage = 0;
  /** Share of the transactions that get no response and are committed later. */
  private delayedWriteShare = 0;
  /** How late they are at most. */
  maxWriteDelayMs = MAX_WRITE_DELAY_MS;
  /** How many of them were committed late, and refused late for their conditions. */
  readonly lateCommits = { applied: 0, refused: 0 };
  /** Share of the transactions that are committed at once and whose response alone is lost. */
  private lostResponseShare = 0;
  private readonly unanswered = new UnansweredWrites();
  /** Hosts whose watches are refused, and nothing else of theirs. */
  private readonly watchRefusedHosts = new Set<string>();
  /** Called with the keys of each transaction's writes as it arrives, before it is looked at. */
  onTransaction: (keys: readonly string[]) => void = () => undefined;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    network: Network,
    address: string,
    private limits: StateLimits,
    private readonly pageSize: number,
  ) {
    const now = (): number => clock.now;
    this.store = new KeyValueStore(now, (host, key) => this.unanswered.recordRead(host, key));
    this.requestTokens = new TokenBucket(now, limits.rps, limits.rps);
    this.putTokens = new TokenBucket(now, limits.writeRps, limits.writeRps);
    network.listen(address, 'state', (from, request, respond) =>
      this.serve(from, request, respond),
    );
    this.expire();
  }

  /** What is stored, by key. */
  get entries(): KeyValueStore['entries'] {
    return this.store.entries;
  }

  /** How often a controller has read what another wrote without getting a response. */
  get readsOfUnansweredWrites(): number {
    return this.unanswered.readByOthers;
  }

  /** Whether it refuses all requests just now. */
  get inOutage(): boolean {
    return this.unavailable;
  }

  /** Refuses all requests for a time; afterwards all leases run anew. */
  outage(ms: number): void {
    this.unavailable = true;
    this.clock.after(ms, () => {
      this.unavailable = false;
      this.store.renewAll();
    });
  }

  /** For a time some responses are late, by up to seconds. */
  slowDown(ms: number): void {
    this.slowUntil = Math.max(this.slowUntil, this.clock.now + ms);
  }

  /** Refuses all requests of one host for a time; its leases expire. */
  refuse(host: string, ms: number): void {
    this.refusedHosts.add(host);
    this.clock.after(ms, () => this.refusedHosts.delete(host));
  }

  /** From now on it takes less. What is stored stays. */
  lowerLimits(limits: StateLimits): void {
    this.limits = limits;
    this.requestTokens.setRate(limits.rps, limits.rps);
    this.putTokens.setRate(limits.writeRps, limits.writeRps);
  }

  /** Refuses the watches of one host for a time, and nothing else of it. */
  refuseWatches(host: string, ms: number): void {
    this.watchRefusedHosts.add(host);
    this.clock.after(ms, () => this.watchRefusedHosts.delete(host));
  }

  /** For a time a share of the transactions gets no response and is committed later, after newer ones. */
  delayWrites(share: number, ms: number): void {
    this.delayedWriteShare = share;
    this.clock.after(ms, () => {
      this.delayedWriteShare = 0;
    });
  }

  /** For a time a share of the transactions is committed at once and gets no response. */
  loseResponses(share: number, ms: number): void {
    this.lostResponseShare = share;
    this.clock.after(ms, () => {
      this.lostResponseShare = 0;
    });
  }

  /** Whether this host alone is refused. */
  isRefusing(host: string): boolean {
    return !this.unavailable && this.refusedHosts.has(host);
  }

  private expire(): void {
    this.clock.after(EXPIRY_CHECK_INTERVAL_MS, () => this.expire());
    if (!this.unavailable) this.store.expire();
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

  /** While the state store is slow some responses are late. */
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
    if (!this.store.watch(watch)) return respond(GONE);
    this.clock.after(Number(query.get('hold_ms')), () => {
      if (!this.unavailable) this.store.closeWatch(watch);
    });
  }
}
