/** What a controller needs of the world. The tests' simulated world implements the same. */

/** A timer that has been started. */
export interface Timer {
  cancel(): void;
}

/** `status` 0: no response, so the request may have been carried out or may yet be. */
export interface Reply {
  status: number;
  body: unknown;
}

/** A request to another service. */
export interface Call {
  /** `host:port` of the callee. */
  to: string;
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: unknown;
  timeoutMs: number;
}

/** Clocks, timers, chance and I/O. */
export interface Runtime {
  /** When this process started, or a moment before, on the steady clock. */
  readonly startedAt: number;
  /** Steady clock in milliseconds. */
  now(): number;
  /** Time of day in milliseconds. */
  wallClock(): number;
  /** Uniform in [0, 1). */
  random(): number;
  /** Runs `fn` soon, after what is already waiting. */
  defer(fn: () => void): void;
  /** Runs `fn` once after `ms`. */
  startTimer(ms: number, fn: () => void): Timer;
  /** Sends a request; `done` is called once, at the time-out at the latest. */
  call(call: Call, done: (reply: Reply) => void): void;
  /** Sockets are not short: a call that could be spared may be made. */
  hasSpareConnection(to: string): boolean;
  /** Best effort; a frame to another controller may be lost. */
  sendPeer(host: string, frame: Buffer): void;
}

/** Structured log, by level. */
export interface Logger {
  info(fields: object, text: string): void;
  debug(fields: object, text: string): void;
  warn(fields: object, text: string): void;
  error(fields: object, text: string): void;
}
