/** Tracks whether the state store serves this node, based on the outcomes of the node's calls. */

/** Number of consecutive failures after which the store is considered unavailable. */
const UNAVAILABLE_AFTER_FAILURES = 2;

/**
 * Records when calls were sent, succeeded and failed. For watches it records only the outcomes, because a
 * watch without a response is usually waiting for changes.
 */
export class CallHealth {
  private succeededAt = -Infinity;
  private failedAt = -Infinity;
  private failures = 0;
  /** By id, the time at which each call without an outcome was sent; the oldest call comes first. */
  private readonly sentAtByOpenCall = new Map<number, number>();
  private lastCallId = 0;

  /** @param now - monotonic clock in milliseconds */
  constructor(private readonly now: () => number) {}

  /** Records that a call is sent. Returns its id for `endCall`. */
  startCall(): number {
    const callId = ++this.lastCallId;
    this.sentAtByOpenCall.set(callId, this.now());
    return callId;
  }

  /** Records that a call has received its response or has timed out. */
  endCall(callId: number): void {
    this.sentAtByOpenCall.delete(callId);
  }

  /** Records that the store has carried out a call or a watch, or has rejected it for its content. */
  recordSuccess(): void {
    this.failures = 0;
    this.succeededAt = this.now();
  }

  /** Records that a call or a watch had no response, or that the store was unavailable (503). */
  recordFailure(): void {
    this.failures++;
    this.failedAt = this.now();
  }

  /** Milliseconds since the store last served this node; Infinity if it never has. */
  get sinceSuccessMs(): number {
    return this.now() - this.succeededAt;
  }

  /** Number of failures since the last success. */
  get consecutiveFailures(): number {
    return this.failures;
  }

  /** Whether the most recent calls failed, so that a new call would most likely fail too. */
  get isUnavailable(): boolean {
    return this.failures >= UNAVAILABLE_AFTER_FAILURES && this.failedAt > this.succeededAt;
  }

  /**
   * Milliseconds since the oldest call without a response was sent; 0 if there is none, or if the store
   * has served another call or a watch since.
   */
  get stalledMs(): number {
    const oldest = this.sentAtByOpenCall.values().next();
    if (oldest.done === true || this.succeededAt >= oldest.value) return 0;
    return this.now() - oldest.value;
  }
}
