/** A runtime and a log for the tests of single modules. */
import type { Call, Logger, Reply, Runtime, Timer } from '../src/controller/runtime/runtime.js';

interface PendingTimer {
  dueAt: number;
  run: () => void;
  cancelled: boolean;
}

/** A runtime without time or network of its own: the test moves the clock and answers the calls. */
export class ManualRuntime implements Runtime {
  /** Calls without response, the oldest first. */
  readonly calls: { call: Call; done: (reply: Reply) => void }[] = [];
  /** Long ago: nothing that depends on the age of the process waits. */
  readonly startedAt = -Infinity;
  private time = 0;
  private readonly deferred: (() => void)[] = [];
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
    this.deferred.push(fn);
  }

  startTimer(ms: number, fn: () => void): Timer {
    const timer = { dueAt: this.time + ms, run: fn, cancelled: false };
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

  /** Answers the oldest open call and runs what was deferred. Returns the call. */
  answer(status: number, body: unknown = null): Call {
    const pending = this.calls.shift();
    if (pending === undefined) throw new Error('no open call');
    pending.done({ status, body });
    this.runDeferred();
    return pending.call;
  }

  /** Moves the clock and runs the timers that are due by then, and what was deferred. */
  advance(ms: number): void {
    this.time += ms;
    const due = this.timers.filter((timer) => timer.dueAt <= this.time && !timer.cancelled);
    this.timers = this.timers.filter((timer) => timer.dueAt > this.time && !timer.cancelled);
    for (const timer of due.sort((a, b) => a.dueAt - b.dueAt)) timer.run();
    this.runDeferred();
  }

  private runDeferred(): void {
    for (let next = this.deferred.shift(); next !== undefined; next = this.deferred.shift()) next();
  }
}

function noop(): void {
  // Nothing is recorded.
}

/** A log that keeps nothing. */
export const silentLogger: Logger = {
  info: noop,
  debug: noop,
  warn: noop,
  error: noop,
};
