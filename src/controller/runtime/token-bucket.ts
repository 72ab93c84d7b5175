/** Token bucket: limits the rate of calls to another service, with priorities among callers. */

const MS_PER_S = 1000;

/**
 * Limits calls to an average of `ratePerS` and a burst of `burst`. A caller of low priority passes
 * a `reserve`: the fraction of the burst that it leaves to callers of higher priority. Under load,
 * status polls are therefore the first calls to be delayed, and submissions are the second. Writes
 * of the leader's records and renewals of its lease are delayed last.
 */
export class TokenBucket {
  /** Number of tokens at `refilledAt`. It can be negative after `forceTake`. */
  private tokens: number;
  private refilledAt: number;
  private pausedUntil = 0;

  /**
   * Creates a full bucket.
   *
   * @param now - monotonic clock in milliseconds
   * @param ratePerS - number of tokens that are added per second
   * @param burst - maximum number of tokens that the bucket holds
   */
  constructor(
    private readonly now: () => number,
    private ratePerS: number,
    private burst: number,
  ) {
    this.tokens = burst;
    this.refilledAt = now();
  }

  /** Changes rate and burst. The bucket keeps its tokens, up to the new burst. */
  setRate(ratePerS: number, burst: number): void {
    this.refill();
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Number of tokens that are added per second. */
  get perSecond(): number {
    return this.ratePerS;
  }

  /**
   * Takes `count` tokens if at least `reserve` (a fraction of the burst) remains. Otherwise takes none and
   * returns false.
   */
  tryTake(count = 1, reserve = 0): boolean {
    this.refill();
    if (this.now() < this.pausedUntil) return false;
    if (this.tokens - count < this.reservedTokens(count, reserve)) return false;
    this.tokens -= count;
    return true;
  }

  /**
   * Takes tokens for a call that must not be delayed, such as a lease renewal, even if too few are
   * available. Later callers wait until the deficit is refilled.
   */
  forceTake(count = 1): void {
    this.refill();
    this.tokens -= count;
  }

  /**
   * Removes all tokens and grants none for `pauseMs`. Called when the service has refused a call
   * because of the rate, which shows that the service has counted more calls than this bucket.
   */
  pauseFor(pauseMs: number): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
    this.pausedUntil = this.now() + pauseMs;
  }

  /** Returns the milliseconds until `tryTake` with the same arguments can succeed, or 0 if it can now. */
  waitMs(count = 1, reserve = 0): number {
    this.refill();
    const missingTokens = count + this.reservedTokens(count, reserve) - this.tokens;
    const refillMs = missingTokens <= 0 ? 0 : (missingTokens / this.ratePerS) * MS_PER_S;
    return Math.max(refillMs, this.pausedUntil - this.now(), 0);
  }

  /** Tokens that the caller has to leave. A full bucket grants any call that fits in it. */
  private reservedTokens(count: number, reserve: number): number {
    return Math.max(0, Math.min(reserve * this.burst, this.burst - count));
  }

  private refill(): void {
    const now = this.now();
    const addedTokens = ((now - this.refilledAt) / MS_PER_S) * this.ratePerS;
    this.tokens = Math.min(this.burst, this.tokens + addedTokens);
    this.refilledAt = now;
  }
}
