/** The latest statuses of the other controllers. */
import type { PeerStatus } from './message.js';

interface ReceivedStatus {
  status: PeerStatus;
  /** Time of arrival on this node's monotonic clock, in milliseconds. */
  receivedAt: number;
}

/** Stores the latest status of each peer. */
export class PeerStatuses {
  private readonly latest = new Map<string, ReceivedStatus>();

  /** @param now - returns the time of the monotonic clock in milliseconds */
  constructor(private readonly now: () => number) {}

  /** Stores a status that has just arrived. */
  record(status: PeerStatus): void {
    this.latest.set(status.host, { status, receivedAt: this.now() });
  }

  /** Returns the statuses that arrived less than `maxAgeMs` ago. */
  recent(maxAgeMs: number): PeerStatus[] {
    const now = this.now();
    const received = [...this.latest.values()];
    return received
      .filter(({ receivedAt }) => now - receivedAt < maxAgeMs)
      .map(({ status }) => status);
  }

  /**
   * Returns the host of the peer that the state store served most recently, or null if it served no peer
   * within the last `maxAgeMs`.
   */
  hostServedByStateStore(maxAgeMs: number): string | null {
    let bestHost: string | null = null;
    let bestAgeMs = maxAgeMs;
    for (const [host, received] of this.latest) {
      const ageMs = this.stateStoreAgeMs(received);
      if (ageMs >= bestAgeMs) continue;
      bestHost = host;
      bestAgeMs = ageMs;
    }
    return bestHost;
  }

  /** Returns the time since the state store last served the peer, according to the peer's latest status. */
  private stateStoreAgeMs({ status, receivedAt }: ReceivedStatus): number {
    if (status.stateOkAgeMs < 0) return Infinity;
    return status.stateOkAgeMs + (this.now() - receivedAt);
  }
}
