/** What the other controllers have last said of themselves. */
import type { PeerStatus } from './message.js';

interface ReceivedStatus {
  status: PeerStatus;
  /** When it arrived, on this node's steady clock. */
  receivedAt: number;
}

/** The latest status of each peer. */
export class PeerStatuses {
  private readonly latest = new Map<string, ReceivedStatus>();

  /** `now`: the steady clock in milliseconds. */
  constructor(private readonly now: () => number) {}

  /** Keeps a status that has just arrived. */
  record(status: PeerStatus): void {
    this.latest.set(status.host, { status, receivedAt: this.now() });
  }

  /** The statuses that have arrived within `maxAgeMs`. */
  recent(maxAgeMs: number): PeerStatus[] {
    const now = this.now();
    const received = [...this.latest.values()];
    return received
      .filter(({ receivedAt }) => now - receivedAt < maxAgeMs)
      .map(({ status }) => status);
  }

  /** The peer that the state store served last, if within `maxAgeMs`. */
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

  /** Time since the state store served the peer, as far as its status tells. */
  private stateStoreAgeMs({ status, receivedAt }: ReceivedStatus): number {
    if (status.stateOkAgeMs < 0) return Infinity;
    return status.stateOkAgeMs + (this.now() - receivedAt);
  }
}
