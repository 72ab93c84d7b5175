/** What the other controllers have last said of themselves. */
import type { PeerStatus } from './message.js';

interface Heard {
  status: PeerStatus;
  atMs: number;
}

/** The newest status of each peer. */
export class PeerStatuses {
  private readonly newest = new Map<string, Heard>();

  /** `now`: the steady clock in milliseconds. */
  constructor(private readonly now: () => number) {}

  /** Keeps a status that has just arrived. */
  take(status: PeerStatus): void {
    this.newest.set(status.host, { status, atMs: this.now() });
  }

  /** The statuses that came within `freshMs`. */
  heard(freshMs: number): PeerStatus[] {
    const now = this.now();
    return [...this.newest.values()].filter((h) => now - h.atMs < freshMs).map((h) => h.status);
  }

  /** The peer that the state service served last, if within `freshMs`. */
  served(freshMs: number): string | null {
    let best: string | null = null;
    let bestAgeMs = freshMs;
    for (const [host, heard] of this.newest) {
      const ageMs = this.servedAgeMs(heard);
      if (ageMs >= bestAgeMs) continue;
      best = host;
      bestAgeMs = ageMs;
    }
    return best;
  }

  private servedAgeMs({ status, atMs }: Heard): number {
    if (status.stateOkAgeMs < 0) return Infinity;
    return status.stateOkAgeMs + (this.now() - atMs);
  }
}
