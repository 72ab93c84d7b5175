/**
 * The sockets of a process, which the platform limits. Users, workers and calls share them by need:
 * when they run short, connections that idle are closed, those missed least first, so that a new
 * one is always taken. Whoever lost an idle connection opens another when it has something to say.
 */
export class SocketBudget {
  private count = 0;
  private readonly shedders: (() => boolean)[] = [];

  constructor(private readonly limit: number) {}

  /** Sockets that are open now. */
  get openCount(): number {
    return this.count;
  }

  /** Calls that can wait for another way are better not made just now. */
  get exhausted(): boolean {
    return this.count >= this.limit;
  }

  /** `shed` closes an idle connection, if there is any. Those added first are asked first. */
  onExhausted(shed: () => boolean): void {
    this.shedders.push(shed);
  }

  /** A socket has been opened. */
  opened(): void {
    this.count++;
    if (this.count > this.limit) this.shedders.some((shed) => shed());
  }

  /** A socket has been closed. */
  closed(): void {
    this.count--;
  }
}
