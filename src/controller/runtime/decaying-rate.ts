/** An estimate of the present rate of something that is counted. */

const MS_PER_S = 1000;

/** Exponentially decaying rate: what was counted loses its weight with a fixed time constant. */
export class DecayingRate {
  private decayedSum = 0;
  private updatedAt: number;

  /** `now`: monotonic clock in milliseconds. */
  constructor(
    private readonly now: () => number,
    private readonly timeConstantMs: number,
  ) {
    this.updatedAt = now();
  }

  /** Adds to what is counted. */
  count(amount: number): void {
    this.decay();
    this.decayedSum += amount;
  }

  /** The rate now. */
  get perSecond(): number {
    this.decay();
    return (this.decayedSum / this.timeConstantMs) * MS_PER_S;
  }

  private decay(): void {
    const now = this.now();
    this.decayedSum *= Math.exp((this.updatedAt - now) / this.timeConstantMs);
    this.updatedAt = now;
  }
}
