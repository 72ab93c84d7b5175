/** How the controllers share the puts of the state service. */
/** A controller's part in the state service's puts, as far as it is known. */
export interface Part {
  leads: boolean;
  /** Puts and deletes that it would make a second. */
  wanted: number;
}

/** Part of its even share that a controller counts for when it wants nothing: it may at any time. */
const IDLE_RATIO = 0.15;

/**
 * Which share of the state service's puts a controller may use. By its role each has a fixed share;
 * those that have told of their wants lately share theirs among them in proportion. `null`: a
 * controller that is not heard of, which may use its fixed share in full.
 */
export function writeShare(
  own: Part,
  peers: readonly (Part | null)[],
  followers: number,
  limit: number,
): number {
  const fixed = (part: Part): number => {
    if (peers.length === 0) return 1;
    return part.leads ? 1 - followers : followers / peers.length;
  };
  const weight = (part: Part): number => part.wanted + IDLE_RATIO * fixed(part) * limit;
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
export class Rate {
  private value = 0;
  private at: number;

  constructor(
    private readonly now: () => number,
    private readonly memoryMs: number,
  ) {
    this.at = now();
  }

  /** Adds to what is counted. */
  count(amount: number): void {
    this.decay();
    this.value += amount;
  }

  /** The rate now. */
  get perSecond(): number {
    this.decay();
    return (this.value / this.memoryMs) * 1000;
  }

  private decay(): void {
    const now = this.now();
    this.value *= Math.exp((this.at - now) / this.memoryMs);
    this.at = now;
  }
}
