/**
 * Interfaces through which a controller uses its process: clocks, timers, random numbers, network and
 * log. `node/` implements them with Node.js; the tests and the simulation use virtual time.
 */

/** A timer that has been started. */
export interface Timer {
  /** Stops the timer. This has no effect once it has fired. */
  cancel(): void;
}

/** The response to a call. */
export interface Reply {
  /**
   * HTTP status; 0 if no response arrived. The request may nevertheless have been carried out, or may be
   * carried out later.
   */
  status: number;
  /** The decoded body, or null if there is none. */
  body: unknown;
}

/** A request to another service. */
export interface Call {
  /** Address of the service, `host:port`. */
  to: string;
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  /** Sent encoded as CBOR; undefined if the request has no body. */
  body?: unknown;
  /** Time in ms without a response after which the call ends with status 0. */
  timeoutMs: number;
}

/** Clocks, timers, random numbers and network of one controller process. */
export interface Runtime {
  /** Lower bound of the time at which this process started, on the monotonic clock. */
  readonly startedAt: number;
  /** Monotonic clock in milliseconds. Its origin is arbitrary, so values are local to this process. */
  now(): number;
  /**
   * Milliseconds since the Unix epoch. The clock may be adjusted, so use it only to record or display times.
   */
  wallClock(): number;
  /** A random number, uniform in [0, 1). */
  random(): number;
  /** Runs `fn` after the process has handled the events that are already pending. */
  defer(fn: () => void): void;
  /** Runs `fn` once after `delayMs`. */
  startTimer(delayMs: number, fn: () => void): Timer;
  /** Sends a request. Calls `done` exactly once: with the reply, or at the time-out. */
  call(call: Call, done: (reply: Reply) => void): void;
  /**
   * Returns whether an optional call to the address may be made: either sockets are not scarce, or an idle
   * connection to the address is open.
   */
  hasSpareConnection(to: string): boolean;
  /** Sends a frame to another controller without confirmation; it may be lost. */
  sendPeer(host: string, frame: Buffer): void;
}

/** Structured log. Each line consists of fields and a fixed text. */
export interface Logger {
  info(fields: object, text: string): void;
  debug(fields: object, text: string): void;
  warn(fields: object, text: string): void;
  error(fields: object, text: string): void;
}
