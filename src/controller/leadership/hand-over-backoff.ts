/** Delays a node's next attempt to become leader after it has handed over. */

/**
 * Makes a node that has handed over wait once before it takes a free leader key, so that another node can
 * take it first.
 */
export class HandOverBackoff {
  private endsAt = -Infinity;
  private hasWaited = false;

  /** Starts a back-off after a handover. From `endsAt` on (monotonic clock, ms) this node no longer waits. */
  begin(endsAt: number): void {
    this.endsAt = endsAt;
    this.hasWaited = false;
  }

  /** Notes that a node holds the key. If the key becomes free before the back-off ends, this node waits again. */
  keyTaken(): void {
    this.hasWaited = false;
  }

  /** Whether to wait before taking the free key. True at most once until a node has taken the key. */
  shouldWait(now: number): boolean {
    if (this.hasWaited || now >= this.endsAt) return false;
    this.hasWaited = true;
    return true;
  }
}
