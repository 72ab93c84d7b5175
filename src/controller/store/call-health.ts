/** Whether the state store serves this node, judged by the outcomes of its calls. */

/** Consecutive failures after which the store counts as unavailable. */
const UNAVAILABLE_AFTER_FAILURES = 2;

/** Records when calls were sent, succeeded and failed. Watches are not calls: they wait by design. */
export class CallHealth {
  private succeededAt = -Infinity;
  private failedAt = -Infinity;
  private failures = 0;
  /** By call, when it was sent. Only calls without an outcome; the oldest comes first. */
  private readonly sentAtByOpenCall = new Map<number, number>();
  private lastCallId = 0;

  /** `now`: monotonic clock in milliseconds. */
  constructor(private readonly now: () => number) {}

  /** A call is sent. Returns the number to end it with. */
  startCall(): number {
    const callId = ++this.lastCallId;
    this.sentAtByOpenCall.set(callId, this.now());
    return callId;
  }

  /** The call has a response, or has timed out. */
  endCall(callId: number): void {
    this.sentAtByOpenCall.delete(callId);
  }

  /** The store has carried out a call or a watch, or has rejected it for a reason of its own. */
  recordSuccess(): void {
    this.failures = 0;
    this.succeededAt = this.now();
  }

  /** A call or a watch had no response, or the store did not serve it. */
  recordFailure(): void {
    this.failures++;
    this.failedAt = this.now();
  }

  /** Milliseconds since the store last served this node; Infinity: it never has. */
  get sinceSuccessMs(): number {
    return this.now() - this.succeededAt;
  }

  /** Failures since the last success. */
  get consecutiveFailures(): number {
    return this.failures;
  }

  /** The last calls failed, so a call made now would most likely fail too. */
  get isUnavailable(): boolean {
    return this.failures >= UNAVAILABLE_AFTER_FAILURES && this.failedAt > this.succeededAt;
  }

  /** For how long the store has left a call without response while it served no other. */
  get stalledMs(): number {
    const oldest = this.sentAtByOpenCall.values().next();
    if (oldest.done === true || this.succeededAt >= oldest.value) return 0;
    return this.now() - oldest.value;
  }
}
