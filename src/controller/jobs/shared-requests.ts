/** Requests of several users that are answered by one call to the state store. */

/**
 * Requests by key, each with everyone who waits for its outcome. Others may join a request only
 * until it is sent: one on its way may find a state from before an answer that a user who comes
 * later was given by another node meanwhile (invariant 3).
 */
export class SharedRequests<Waiter> {
  private readonly unsent = new Map<string, SharedRequest<Waiter>>();

  /** Adds the waiter to the unsent request with this key; false: there is none. */
  join(key: string, waiter: Waiter): boolean {
    const request = this.unsent.get(key);
    request?.waiters.push(waiter);
    return request !== undefined;
  }

  /** A request that others may join once `open` was called, and until `seal` is. */
  create(key: string, waiter: Waiter): SharedRequest<Waiter> {
    return new SharedRequest(this.unsent, key, waiter);
  }
}

/** One request and everyone who waits for its outcome. */
export class SharedRequest<Waiter> {
  /** In the order in which they came. */
  readonly waiters: Waiter[];

  constructor(
    private readonly unsent: Map<string, SharedRequest<Waiter>>,
    private readonly key: string,
    waiter: Waiter,
  ) {
    this.waiters = [waiter];
  }

  /** The request is queued: others may join it from now on. */
  open(): void {
    this.unsent.set(this.key, this);
  }

  /** The request is sent or settled: nobody may join it any more. */
  seal(): void {
    if (this.unsent.get(this.key) === this) this.unsent.delete(this.key);
  }
}
