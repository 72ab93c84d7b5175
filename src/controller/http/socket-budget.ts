/**
 * Counts the open sockets of the process, whose number the platform limits. Servers and clients share the
 * budget by need: when it is exceeded an idle connection is closed, so that a new one can always be accepted.
 * Its peer opens another one when it has something to send.
 */
export class SocketBudget {
  private count = 0;
  private readonly idleClosers: (() => boolean)[] = [];

  constructor(private readonly limit: number) {}

  /** Number of open sockets. */
  get openCount(): number {
    return this.count;
  }

  /** Whether the budget is used up: calls that have an alternative should not be made now. */
  get exhausted(): boolean {
    return this.count >= this.limit;
  }

  /**
   * Registers an owner of sockets. `closeIdle` closes one idle connection and returns whether there was any.
   * Owners are asked in the order of their registration.
   */
  onExhausted(closeIdle: () => boolean): void {
    this.idleClosers.push(closeIdle);
  }

  /** Counts a socket that has been opened. */
  opened(): void {
    this.count++;
    if (this.count > this.limit) this.idleClosers.some((closeIdle) => closeIdle());
  }

  /** Counts a socket that has been closed. */
  closed(): void {
    this.count--;
  }
}
