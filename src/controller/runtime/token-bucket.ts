/** Token bucket: limits the rate of calls to another service, with priorities among callers. */

const MS_PER_S = 1000;

/**
 * Limits calls to `ratePerS` on average and `burst` at once. A caller of low priority leaves `reserve`
 * tokens (a ratio of the burst) to those above it, so that under load status polls go without
 * before submissions, and submissions before the leader's records and its lease.
 */
export class TokenBucket {
  /** Tokens at `refilledAt`; negative after `forceTake`. */
  private tokens: number;
  private refilledAt: number;
  private pausedUntil = 0;

  /** `now`: monotonic clock in milliseconds. The bucket starts full. */
  constructor(
    private readonly now: () => number,
    private ratePerS: number,
    private burst: number,
  ) {
    this.tokens = burst;
    this.refilledAt = now();
  }

  /** Changes rate and burst; the tokens that are there stay, up to the new burst. */
  setRate(ratePerS: number, burst: number): void {
    this.refill();
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** The rate at which tokens are added. */
  get perSecond(): number {
    return this.ratePerS;
  }

  /** Takes `count` tokens if that leaves `reserve` (a ratio of the burst); false: none were taken. */
  tryTake(count = 1, reserve = 0): boolean {
    this.refill();
    if (this.now() < this.pausedUntil) return false;
    if (this.tokens - count < reserve * this.burst) return false;
    this.tokens -= count;
    return true;
  }

  /** Takes tokens for a call that must go out in any case (a lease renewal): later callers pay. */
  forceTake(count = 1): void {
    this.refill();
    this.tokens -= count;
  }

  /** The service has refused for its rate, so it counts more than this bucket does. */
  pauseFor(pauseMs: number): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
    this.pausedUntil = this.now() + pauseMs;
  }

  /** Milliseconds until `tryTake` with the same arguments can succeed; 0: now. */
  waitMs(count = 1, reserve = 0): number {
    this.refill();
    const missingTokens = count + reserve * this.burst - this.tokens;
    const refillMs = missingTokens <= 0 ? 0 : (missingTokens / this.ratePerS) * MS_PER_S;
    return Math.max(refillMs, this.pausedUntil - this.now(), 0);
  }

  private refill(): void {
    const now = this.now();
    const addedTokens = ((now - this.refilledAt) / MS_PER_S) * this.ratePerS;
    this.tokens = Math.min(this.burst, this.tokens + addedTokens);
    this.refilledAt = now;
  }
}
