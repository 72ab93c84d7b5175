/** A runtime whose clock and replies the test controls, and a silent log, for unit tests. */
import type { Call, Logger, Reply, Runtime, Timer } from '../src/controller/runtime/runtime.js';

interface PendingTimer {
  dueAt: number;
  run: () => void;
  cancelled: boolean;
}

/** A runtime in which the test moves the clock and answers the calls. */
export class ManualRuntime implements Runtime {
  /** Calls that have not been answered, oldest first. */
  readonly calls: { call: Call; done: (reply: Reply) => void }[] = [];
  /** Long ago, so that no code waits for the process to reach a minimum age. */
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
    // There are no peers.
  }

  /** Answers the oldest pending call, runs the deferred functions, and returns the call. */
  answer(status: number, body: unknown = null): Call {
    const pending = this.calls.shift();
    if (pending === undefined) throw new Error('no call is pending');
    pending.done({ status, body });
    this.runDeferred();
    return pending.call;
  }

  /** Advances the clock, then runs the timers that are due and the deferred functions. */
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
  // Log entries are discarded.
}

/** A log that discards everything. */
export const silentLogger: Logger = {
  info: noop,
  debug: noop,
  warn: noop,
  error: noop,
};
