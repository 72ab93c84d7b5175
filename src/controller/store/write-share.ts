/** How the controllers share the puts of the state service. */
/** A controller's part in the state service's puts, as far as it is known. */
export interface WriteDemand {
  isLeader: boolean;
  /** Puts and deletes that it would make a second. */
  writesPerSecond: number;
}

/** Part of its even share that a controller counts for when it wants nothing: it may at any time. */
const IDLE_RATIO = 0.15;

/**
 * Which share of the state service's puts a controller may use. By its role each has a fixed share;
 * those that have told of their wants lately share theirs among them in proportion. `null`: a
 * controller that is not heard of, which may use its fixed share in full.
 */
export function writeShare(
  own: WriteDemand,
  peers: readonly (WriteDemand | null)[],
  followersShare: number,
  writesPerSecondLimit: number,
): number {
  const fixed = (part: WriteDemand): number => {
    if (peers.length === 0) return 1;
    return part.isLeader ? 1 - followersShare : followersShare / peers.length;
  };
  const weight = (part: WriteDemand): number =>
    part.writesPerSecond + IDLE_RATIO * fixed(part) * writesPerSecondLimit;
  let pool = fixed(own);
  let weights = weight(own);
  for (const peer of peers) {
    if (peer === null) continue;
    pool += fixed(peer);
    weights += weight(peer);
  }
  return (Math.min(1, pool) * weight(own)) / weights;
}

/** A rate that follows what is counted over the last few seconds. */
export class DecayingRate {
  private decayedSum = 0;
  private decayedAt: number;

  constructor(
    private readonly now: () => number,
    private readonly timeConstantMs: number,
  ) {
    this.decayedAt = now();
  }

  /** Adds to what is counted. */
  count(amount: number): void {
    this.decay();
    this.decayedSum += amount;
  }

  /** The rate now. */
  get perSecond(): number {
    this.decay();
    return (this.decayedSum / this.timeConstantMs) * 1000;
  }

  private decay(): void {
    const now = this.now();
    this.decayedSum *= Math.exp((this.decayedAt - now) / this.timeConstantMs);
    this.decayedAt = now;
  }
}
