/**
 * Counts the open sockets of the process; the platform limits their number. All servers and clients share one
 * budget; none has a fixed part of it. If a new socket exceeds the budget, an idle connection is closed, so
 * that a new connection can be accepted at any time. The other end of a closed connection reconnects when it
 * next has something to send.
 */
export class SocketBudget {
  private count = 0;
  private readonly idleClosers: (() => boolean)[] = [];

  constructor(private readonly limit: number) {}

  /** Number of open sockets. */
  get openCount(): number {
    return this.count;
  }

  /** Whether the budget is used up. Calls that can be replaced or delayed should then open no sockets. */
  get exhausted(): boolean {
    return this.count >= this.limit;
  }

  /**
   * Registers a function that closes the longest idle connection of a server or client, and that returns
   * false if no connection is idle. When the budget is exceeded, the functions are called in the order of
   * registration until one returns true.
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
