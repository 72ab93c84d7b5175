/** How a node that has handed over leaves the leader key to the others. */

/** Backs off once from a free key, for a while after a hand-over. */
export class HandOverBackoff {
  private endsAt = -Infinity;
  private hasWaited = false;

  /** This node hands over: until `endsAt` it leaves a free key to the others at first. */
  begin(endsAt: number): void {
    this.endsAt = endsAt;
    this.hasWaited = false;
  }

  /** A node has taken the key. */
  keyTaken(): void {
    this.hasWaited = false;
  }

  /** Whether to wait before taking a free key; not again before a node has taken it. */
  shouldWait(now: number): boolean {
    if (this.hasWaited || now >= this.endsAt) return false;
    this.hasWaited = true;
    return true;
  }
}
