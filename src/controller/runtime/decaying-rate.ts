/** Estimates the current rate of counted events. */
import { exp } from './elementary-functions.js';

const MS_PER_S = 1000;

/** Exponentially decaying rate: the weight of each count decays with a fixed time constant. */
export class DecayingRate {
  private decayedSum = 0;
  private updatedAt: number;

  /**
   * @param now - monotonic clock in milliseconds
   * @param timeConstantMs - time in which the weight of a count decays to 1/e
   */
  constructor(
    private readonly now: () => number,
    private readonly timeConstantMs: number,
  ) {
    this.updatedAt = now();
  }

  /** Counts `amount` events at the current time. */
  count(amount: number): void {
    this.decay();
    this.decayedSum += amount;
  }

  /** Estimated current rate in events per second. */
  get perSecond(): number {
    this.decay();
    return (this.decayedSum / this.timeConstantMs) * MS_PER_S;
  }

  private decay(): void {
    const now = this.now();
    this.decayedSum *= exp((this.updatedAt - now) / this.timeConstantMs);
    this.updatedAt = now;
  }
}
