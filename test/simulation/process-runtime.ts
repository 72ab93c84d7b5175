/** The clock, timers and network of one simulated controller process. */
import type { Call, Reply, Runtime, Timer } from '../../src/controller/runtime/runtime.js';
import type { Network } from './network.js';
import type { SeededRandom } from './seeded-random.js';
import type { VirtualClock } from './virtual-clock.js';

/**
 * The runtime of one simulated controller process. No callback runs after the process is killed.
 */
export class ProcessRuntime implements Runtime {
  alive = true;
  /**
   * Virtual time until which the process is frozen. Its clocks continue to run; timers and messages
   * are handled afterwards.
   */
  private frozenUntil = 0;
  private readonly drift: number;
  private readonly offset: number;
  readonly startedAt: number;

  constructor(
    private readonly clock: VirtualClock,
    private readonly seededRandom: SeededRandom,
    private readonly network: Network,
    private readonly host: string,
    private readonly peerFrameHandlers: Map<string, (bytes: Buffer) => void>,
  ) {
    this.drift = 1 + seededRandom.between(0, 0.0005);
    this.offset = seededRandom.between(0, 1e6);
    this.startedAt = this.now();
  }

  now(): number {
    return this.offset + this.clock.now * this.drift;
  }

  wallClock(): number {
    return 1.7e12 + this.clock.now;
  }

  random(): number {
    return this.seededRandom.next();
  }

  defer(fn: () => void): void {
    this.startTimer(0, fn);
  }

  startTimer(delayMs: number, fn: () => void): Timer {
    return this.clock.after(delayMs / this.drift, () => this.whenAwake(fn));
  }

  /** Freezes the process for `ms`, as if its machine had stalled. */
  freeze(ms: number): void {
    this.frozenUntil = Math.max(this.frozenUntil, this.clock.now + ms);
  }

  /**
   * Runs the function now or, if the process is frozen, when the process resumes. The function does
   * not run if the process has been killed by then.
   */
  whenAwake(fn: () => void): void {
    if (!this.alive) return;
    if (this.clock.now >= this.frozenUntil) fn();
    else this.clock.after(this.frozenUntil - this.clock.now, () => this.whenAwake(fn));
  }

  call(call: Call, done: (reply: Reply) => void): void {
    if (!this.alive) return;
    const doneWhenAwake = (reply: Reply): void => this.whenAwake(() => done(reply));
    this.network.call(this.host, call, () => this.alive, doneWhenAwake);
  }

  /** Returns false for 5 % of the calls, to simulate a shortage of sockets. */
  hasSpareConnection(): boolean {
    return this.seededRandom.next() < 0.95;
  }

  sendPeer(host: string, frame: Buffer): void {
    if (!this.alive) return;
    this.network.send(
      this.host,
      host,
      () => this.peerFrameHandlers.get(host)?.(frame),
      () => undefined,
    );
  }
}
