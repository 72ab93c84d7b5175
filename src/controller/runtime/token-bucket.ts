/**
 * Token bucket for calls to an outside service. A caller of low priority leaves `reserve` tokens
 * for those above it, so that under load polls go without before submissions, and submissions
 * before the leader's records and its lease.
 */
export class TokenBucket {
  private available: number;
  private refilledAt: number;
  private blockedUntil = 0;

  constructor(
    private readonly now: () => number,
    private ratePerS: number,
    private burst: number,
  ) {
    this.available = burst;
    this.refilledAt = now();
  }

  /** Changes rate and burst; what the bucket holds stays, up to the burst. */
  setRate(ratePerS: number, burst: number): void {
    this.refill();
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.available = Math.min(this.available, burst);
  }

  /** The rate at which tokens come. */
  get perSecond(): number {
    return this.ratePerS;
  }

  /** Takes `count` tokens if that leaves `reserve` (a share of the burst) behind. */
  tryTake(count = 1, reserve = 0): boolean {
    this.refill();
    if (this.now() < this.blockedUntil) return false;
    if (this.available - count < reserve * this.burst) return false;
    this.available -= count;
    return true;
  }

  /** For calls that must go out whatever the level (lease renewals): later callers pay. */
  forceTake(count = 1): void {
    this.refill();
    this.available -= count;
  }

  /** The service itself said "too many": it counts more than we do. */
  pauseFor(pauseMs: number): void {
    this.refill();
    this.available = Math.min(this.available, 0);
    this.blockedUntil = this.now() + pauseMs;
  }

  /** Milliseconds until `count` tokens are there, keeping `reserve`. */
  waitMs(count = 1, reserve = 0): number {
    this.refill();
    const lack = count + reserve * this.burst - this.available;
    const refill = lack <= 0 ? 0 : (lack / this.ratePerS) * 1000;
    return Math.max(refill, this.blockedUntil - this.now(), 0);
  }

  private refill(): void {
    const now = this.now();
    this.available = Math.min(
      this.burst,
      this.available + ((now - this.refilledAt) / 1000) * this.ratePerS,
    );
    this.refilledAt = now;
  }
}
