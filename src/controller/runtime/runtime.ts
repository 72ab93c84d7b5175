/**
 * What a controller needs from the process that runs it: clocks, timers, random numbers, network and
 * log. `node/` implements it with Node.js; the tests and the simulation implement it with virtual time.
 */

/** A timer that has been started. */
export interface Timer {
  /** Stops the timer; without effect once it has fired. */
  cancel(): void;
}

/** The response to a call. */
export interface Reply {
  /** HTTP status. 0: no response, so the request may have been carried out, or may be yet. */
  status: number;
  /** The decoded body, or null where there is none. */
  body: unknown;
}

/** A request to another service. */
export interface Call {
  /** Address of the service, `host:port`. */
  to: string;
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  /** Encoded as CBOR; absent: no body. */
  body?: unknown;
  /** After this time without a response the reply has status 0. */
  timeoutMs: number;
}

/** Clocks, timers, random numbers and network of one controller process. */
export interface Runtime {
  /** When this process started, or a moment before, on the monotonic clock. */
  readonly startedAt: number;
  /** Monotonic clock in milliseconds; its origin has no meaning outside this process. */
  now(): number;
  /** Milliseconds since the Unix epoch; may be set, so use it only for what is recorded or shown. */
  wallClock(): number;
  /** A random number, uniform in [0, 1). */
  random(): number;
  /** Runs `fn` once the events that wait already have been handled. */
  defer(fn: () => void): void;
  /** Runs `fn` once after `delayMs`. */
  startTimer(delayMs: number, fn: () => void): Timer;
  /** Sends a request; `done` is called exactly once, at the time-out at the latest. */
  call(call: Call, done: (reply: Reply) => void): void;
  /**
   * Whether a call to the address that could be omitted may be made: sockets are not scarce, or a
   * connection to it is open.
   */
  hasSpareConnection(to: string): boolean;
  /** Sends a frame to another controller, best effort: it may be lost. */
  sendPeer(host: string, frame: Buffer): void;
}

/** Structured log: each line has fields and a fixed text. */
export interface Logger {
  info(fields: object, text: string): void;
  debug(fields: object, text: string): void;
  warn(fields: object, text: string): void;
  error(fields: object, text: string): void;
}
