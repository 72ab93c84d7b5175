/** This node's budget of calls to the state store. All controllers share the store's rate limits. */
import { DecayingRate } from '../runtime/decaying-rate.js';
import { TokenBucket } from '../runtime/token-bucket.js';
import type { Settings } from '../settings/settings.js';
import { StateStoreLimits } from './limits.js';
import { writeShare, type WriteDemand } from './write-share.js';

/**
 * By kind of call, the fraction of the burst that is reserved for calls of higher priority. When tokens are
 * scarce, the kinds with the largest reserve are delayed or refused first. Calls for the leader's lease
 * take their tokens without waiting (`TokenBucket.forceTake`).
 */
export const tokenReserve = {
  /** The leader's records. */
  records: 0.02,
  /** Submissions and cancellations. */
  submissions: 0.12,
  /** Reads of the final states of jobs. */
  reads: 0.2,
  /** Status queries. */
  polls: 0.3,
} as const;

/** Time constant in milliseconds with which the measured rate of writes decays. */
const WRITE_RATE_TIME_CONSTANT_MS = 3000;
/** Time in seconds within which the queued writes should be sent. */
const QUEUE_DRAIN_S = 2;
/**
 * Smallest burst of the write tokens, in tokens. It exceeds 1 because a transaction takes the tokens of all
 * its writes at once.
 */
const MIN_WRITE_BURST = 4;
/** Smallest burst of the request tokens, in tokens: with less, no request could ever be sent. */
const MIN_REQUEST_BURST = 1;
/** Time in milliseconds for which no tokens are granted after the store has refused a call for its rate. */
const REFUSAL_PAUSE_MS = 100;

/** Tokens for requests and for writes, refilled at this node's share of the store's rates. */
export class RateBudget {
  /** Each request takes one token. */
  readonly requestTokens: TokenBucket;
  /** Each put or delete in a transaction takes one token. */
  readonly writeTokens: TokenBucket;
  readonly limits: StateStoreLimits;
  /** Number of writes that wait for tokens. The queues that hold them update it. */
  queuedWrites = 0;
  private readonly writeRate: DecayingRate;
  private isLeader = false;

  /**
   * Creates the budget of a follower.
   *
   * @param now - monotonic clock in milliseconds
   * @param settings - limits of the store, shares and peers
   */
  constructor(
    now: () => number,
    private readonly settings: Settings,
  ) {
    this.limits = new StateStoreLimits(settings.platform, now, settings.workerLeaseMs * 2);
    this.requestTokens = new TokenBucket(now, 1, 1);
    this.writeTokens = new TokenBucket(now, 1, 1);
    this.writeRate = new DecayingRate(now, WRITE_RATE_TIME_CONSTANT_MS);
    this.setRole(false);
  }

  /** Sets the role. Followers split a fixed share of the requests evenly; the leader has the remainder. */
  setRole(isLeader: boolean): void {
    const { peers } = this.settings.platform;
    const followersRatio = this.settings.get('state.followers.requests.ratio');
    const followersShare = peers.length > 0 ? followersRatio : 0;
    const share = isLeader ? 1 - followersShare : followersShare / Math.max(1, peers.length);
    const requestsPerS = this.limits.current.rps * this.usableRatio * share;
    this.requestTokens.setRate(requestsPerS, Math.max(requestsPerS, MIN_REQUEST_BURST));
    this.isLeader = isLeader;
    this.updateWriteShare([]);
  }

  /** Fraction of the store's rate limits that all controllers together may use. */
  private get usableRatio(): number {
    return this.settings.get('state.headroom.ratio');
  }

  /** This node's demand for writes, which is reported to its peers. */
  get writeDemand(): WriteDemand {
    const writesPerSecond = this.writeRate.perSecond + this.queuedWrites / QUEUE_DRAIN_S;
    return { isLeader: this.isLeader, writesPerSecond };
  }

  /**
   * Sets this node's share of the writes. The share is computed from the node's own demand and the demands
   * that peers reported recently.
   */
  updateWriteShare(reportedDemands: readonly WriteDemand[]): void {
    const { peers } = this.settings.platform;
    const limit = this.limits.current.writeRps * this.usableRatio;
    const peerDemands = peers.map((_, index) => reportedDemands[index] ?? null);
    const followersShare = this.settings.get('state.followers.writes.ratio');
    const rate = limit * writeShare(this.writeDemand, peerDemands, followersShare, limit);
    this.writeTokens.setRate(rate, Math.max(rate, MIN_WRITE_BURST));
  }

  /** Counts sent writes. The demand is estimated from the count. */
  recordWrites(count: number): void {
    this.writeRate.count(count);
  }

  /**
   * Pauses all calls after the store has refused one for its rate. Returns true if the store's upcoming,
   * lower rates apply from now on.
   */
  recordRateRefusal(): boolean {
    this.requestTokens.pauseFor(REFUSAL_PAUSE_MS);
    this.writeTokens.pauseFor(REFUSAL_PAUSE_MS);
    if (!this.limits.recordRateRefusal()) return false;
    this.setRole(this.isLeader);
    return true;
  }
}
