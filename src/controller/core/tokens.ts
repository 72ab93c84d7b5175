/**
 * Token bucket for calls to an outside service. A caller of low priority leaves `reserve` tokens
 * for those above it, so that under load polls go without before submissions, and submissions
 * before the leader's records and its lease.
 */
export class Tokens {
  private level: number;
  private at: number;
  private blockedUntil = 0;

  constructor(
    private readonly now: () => number,
    private ratePerS: number,
    private burst: number,
  ) {
    this.level = burst;
    this.at = now();
  }

  /** Changes rate and burst; what the bucket holds stays, up to the burst. */
  setRate(ratePerS: number, burst: number): void {
    this.refill();
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.level = Math.min(this.level, burst);
  }

  /** The rate at which tokens come. */
  get perSecond(): number {
    return this.ratePerS;
  }

  /** Takes `count` tokens if that leaves `reserve` (a share of the burst) behind. */
  take(count = 1, reserve = 0): boolean {
    this.refill();
    if (this.now() < this.blockedUntil) return false;
    if (this.level - count < reserve * this.burst) return false;
    this.level -= count;
    return true;
  }

  /** For calls that must go out whatever the level (lease renewals): later callers pay. */
  force(count = 1): void {
    this.refill();
    this.level -= count;
  }

  /** The service itself said "too many": it counts more than we do. */
  rejected(pauseMs: number): void {
    this.refill();
    this.level = Math.min(this.level, 0);
    this.blockedUntil = this.now() + pauseMs;
  }

  /** Milliseconds until `count` tokens are there, keeping `reserve`. */
  waitMs(count = 1, reserve = 0): number {
    this.refill();
    const lack = count + reserve * this.burst - this.level;
    const refill = lack <= 0 ? 0 : (lack / this.ratePerS) * 1000;
    return Math.max(refill, this.blockedUntil - this.now(), 0);
  }

  private refill(): void {
    const now = this.now();
    this.level = Math.min(this.burst, this.level + ((now - this.at) / 1000) * this.ratePerS);
    this.at = now;
  }
}
