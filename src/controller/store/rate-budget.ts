/** This node's budget of calls to the state store, whose rate limits all controllers share. */
import { DecayingRate } from '../runtime/decaying-rate.js';
import { TokenBucket } from '../runtime/token-bucket.js';
import type { Settings } from '../settings/settings.js';
import { StateStoreLimits } from './limits.js';
import { writeShare, type WriteDemand } from './write-share.js';

/**
 * The ratio of the burst that a call leaves to calls of higher priority: who goes without first when
 * tokens are scarce. Calls for the lease take theirs in any case (`TokenBucket.forceTake`).
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

/** Time constant of the measured rate of writes. */
const WRITE_RATE_TIME_CONSTANT_MS = 3000;
/** The time within which the writes that wait should be sent. */
const QUEUE_DRAIN_S = 2;
/** A transaction takes the tokens of all its writes at once: the least burst that is useful. */
const MIN_WRITE_BURST = 4;
/** Nothing is sent for this time after the store has refused for its rate. */
const REFUSAL_PAUSE_MS = 100;

/** Tokens for requests and for writes, refilled at this node's share of the store's rates. */
export class RateBudget {
  /** One for each request. */
  readonly requestTokens: TokenBucket;
  /** One for each put or delete of a transaction. */
  readonly writeTokens: TokenBucket;
  readonly limits: StateStoreLimits;
  /** Writes that wait for tokens; kept by the queues that hold them. */
  queuedWrites = 0;
  private readonly writeRate: DecayingRate;
  private isLeader = false;

  /** `now`: monotonic clock in milliseconds. The budget begins as that of a follower. */
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

  /** Followers have equal parts of a fixed share of the requests; the leader has the rest. */
  setRole(isLeader: boolean): void {
    const { peers } = this.settings.platform;
    const followersRatio = this.settings.get('state.followers.requests.ratio');
    const followersShare = peers.length > 0 ? followersRatio : 0;
    const share = isLeader ? 1 - followersShare : followersShare / Math.max(1, peers.length);
    const requestsPerS = this.limits.current.rps * this.usableRatio * share;
    this.requestTokens.setRate(requestsPerS, requestsPerS);
    this.isLeader = isLeader;
    this.updateWriteShare([]);
  }

  /** The ratio of the store's limits that all controllers together may use. */
  private get usableRatio(): number {
    return this.settings.get('state.headroom.ratio');
  }

  /** What this node would write, to be told to the others. */
  get writeDemand(): WriteDemand {
    const writesPerSecond = this.writeRate.perSecond + this.queuedWrites / QUEUE_DRAIN_S;
    return { isLeader: this.isLeader, writesPerSecond };
  }

  /** Sets this node's share of the writes by its demand and by those that peers have told lately. */
  updateWriteShare(reportedDemands: readonly WriteDemand[]): void {
    const { peers } = this.settings.platform;
    const limit = this.limits.current.writeRps * this.usableRatio;
    const peerDemands = peers.map((_, index) => reportedDemands[index] ?? null);
    const followersShare = this.settings.get('state.followers.writes.ratio');
    const rate = limit * writeShare(this.writeDemand, peerDemands, followersShare, limit);
    this.writeTokens.setRate(rate, Math.max(rate, MIN_WRITE_BURST));
  }

  /** Counts writes that are sent, for the demand. */
  recordWrites(count: number): void {
    this.writeRate.count(count);
  }

  /** The store has refused a call for its rate. True: its upcoming, lower rates are in force now. */
  recordRateRefusal(): boolean {
    this.requestTokens.pauseFor(REFUSAL_PAUSE_MS);
    this.writeTokens.pauseFor(REFUSAL_PAUSE_MS);
    if (!this.limits.recordRateRefusal()) return false;
    this.setRole(this.isLeader);
    return true;
  }
}
