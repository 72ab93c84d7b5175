/** What the other controllers have last said of themselves. */
import type { PeerStatus } from './message.js';

interface ReceivedStatus {
  status: PeerStatus;
  receivedAt: number;
}

/** The newest status of each peer. */
export class PeerStatuses {
  private readonly latest = new Map<string, ReceivedStatus>();

  /** `now`: the steady clock in milliseconds. */
  constructor(private readonly now: () => number) {}

  /** Keeps a status that has just arrived. */
  record(status: PeerStatus): void {
    this.latest.set(status.host, { status, receivedAt: this.now() });
  }

  /** The statuses that came within `freshMs`. */
  recent(freshMs: number): PeerStatus[] {
    const now = this.now();
    return [...this.latest.values()]
      .filter((h) => now - h.receivedAt < freshMs)
      .map((h) => h.status);
  }

  /** The peer that the state service served last, if within `freshMs`. */
  hostServedByStateStore(freshMs: number): string | null {
    let best: string | null = null;
    let bestAgeMs = freshMs;
    for (const [host, heard] of this.latest) {
      const ageMs = this.stateStoreAgeMs(heard);
      if (ageMs >= bestAgeMs) continue;
      best = host;
      bestAgeMs = ageMs;
    }
    return best;
  }

  private stateStoreAgeMs({ status, receivedAt }: ReceivedStatus): number {
    if (status.stateOkAgeMs < 0) return Infinity;
    return status.stateOkAgeMs + (this.now() - receivedAt);
  }
}
