import type { Call, Runtime, Logger, Reply, Timer } from '../src/controller/runtime/runtime.js';

interface PendingTimer {
  at: number;
  run: () => void;
  cancelled: boolean;
}

/** An environment for the tests of single modules: the test moves the clock and answers the calls. */
export class ManualRuntime implements Runtime {
  readonly calls: { call: Call; done: (reply: Reply) => void }[] = [];
  /** Long ago. */
  readonly startedAt = -Infinity;
  private time = 0;
  private readonly queue: (() => void)[] = [];
  private timers: PendingTimer[] = [];

  now(): number {
    return this.time;
  }

  wallClock(): number {
    return this.time;
  }

  random(): number {
    return 0.5;
  }

  defer(fn: () => void): void {
    this.queue.push(fn);
  }

  startTimer(ms: number, fn: () => void): Timer {
    const timer = { at: this.time + ms, run: fn, cancelled: false };
    this.timers.push(timer);
    return {
      cancel: () => {
        timer.cancelled = true;
      },
    };
  }

  call(call: Call, done: (reply: Reply) => void): void {
    this.calls.push({ call, done });
  }

  hasSpareConnection(): boolean {
    return true;
  }

  sendPeer(): void {
    // No peers.
  }

  /** Answers the oldest open call and runs what follows. */
  answer(status: number, body: unknown = null): Call {
    const open = this.calls.shift();
    if (open === undefined) throw new Error('no open call');
    open.done({ status, body });
    this.settle();
    return open.call;
  }

  /** Moves the clock and runs the timers that are due by then. */
  advance(ms: number): void {
    this.time += ms;
    const due = this.timers.filter((timer) => timer.at <= this.time && !timer.cancelled);
    this.timers = this.timers.filter((timer) => timer.at > this.time && !timer.cancelled);
    for (const timer of due.sort((a, b) => a.at - b.at)) timer.run();
    this.settle();
  }

  private settle(): void {
    for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) next();
  }
}

const nothing = (): void => undefined;

/** A log that nobody reads. */
export const silentLogger: Logger = {
  info: nothing,
  debug: nothing,
  warn: nothing,
  error: nothing,
};
