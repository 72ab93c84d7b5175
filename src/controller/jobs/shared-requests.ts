/** Requests of several users that share one call to the state store. */

/**
 * Unsent requests by key, each with the callers that wait for its result. A caller may join a
 * request only until it is sent. A request in flight may return a state that is older than a state
 * already reported to the same user by another node (invariant 3: the state store must confirm
 * every state that is not known to be terminal).
 */
export class SharedRequests<Waiter> {
  private readonly unsent = new Map<string, SharedRequest<Waiter>>();

  /** Adds the waiter to the unsent request with this key. Returns false if there is none. */
  join(key: string, waiter: Waiter): boolean {
    const request = this.unsent.get(key);
    request?.waiters.push(waiter);
    return request !== undefined;
  }

  /** Creates a request. Others may join it from the call of `open` until the call of `seal`. */
  create(key: string, waiter: Waiter): SharedRequest<Waiter> {
    return new SharedRequest(this.unsent, key, waiter);
  }
}

/** One request and the callers that wait for its result. */
export class SharedRequest<Waiter> {
  /** Waiters in the order in which they joined. */
  readonly waiters: Waiter[];

  constructor(
    private readonly unsent: Map<string, SharedRequest<Waiter>>,
    private readonly key: string,
    waiter: Waiter,
  ) {
    this.waiters = [waiter];
  }

  /** Lets others join the request. Called once it is queued. */
  open(): void {
    this.unsent.set(this.key, this);
  }

  /** Lets no one else join the request. Called when it is sent or has a result. */
  seal(): void {
    if (this.unsent.get(this.key) === this) this.unsent.delete(this.key);
  }
}
