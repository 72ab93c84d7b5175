/** One connection of the HTTP server: handles its requests one at a time and applies its time-outs. */
import type net from 'node:net';
import { formatResponse, type HttpResponse } from './formatting.js';
import { HttpError, HttpParser, type HttpMessage, type MessageLimits } from './parser.js';

/** Handles a request. `respond` may be called after the handler has returned; only its first call counts. */
export type RequestHandler = (
  request: HttpMessage,
  respond: (response: HttpResponse) => void,
) => void;

/** Limits and callbacks of a server's connection. */
export interface ConnectionOptions {
  limits: MessageLimits;
  /** Longest time from the arrival of a request's first byte to the arrival of its last byte. */
  readTimeoutMs: number;
  /** Returns the idle time-out for the path of the connection's last request ('' before the first request). */
  idleTimeoutMs: (path: string) => number;
  handler: RequestHandler;
  /** Called with false when the handling of a request begins and with true after its response. */
  onIdleChange: (idle: boolean) => void;
  /** Called when the connection has been closed. */
  onClose: () => void;
}

const EMPTY_BODY = Buffer.alloc(0);

/** Reads requests from a socket and writes their responses. */
export class ServerConnection {
  private readonly parser: HttpParser;
  /** Whether a request is being handled. */
  private busy = false;
  /** Whether the connection is closed or being closed, so that no further request is read. */
  private ended = false;
  /** The idle time-out that is set on the socket. */
  private idleTimeoutMs: number;
  /** Closes the connection after `readTimeoutMs`. Null unless a request has arrived in part. */
  private readTimer: NodeJS.Timeout | null = null;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: ConnectionOptions,
  ) {
    this.parser = new HttpParser('request', options.limits);
    this.idleTimeoutMs = options.idleTimeoutMs('');
    socket.setTimeout(this.idleTimeoutMs, () => socket.destroy());
    socket.on('data', (bytes) => this.receive(bytes));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.onSocketClosed());
  }

  private receive(bytes: Buffer): void {
    if (this.ended) return;
    this.parser.push(bytes);
    // Requests are not pipelined: reading pauses if bytes arrive before the previous request is answered.
    if (this.busy) this.socket.pause();
    else this.handleNextRequest();
  }

  private onSocketClosed(): void {
    this.ended = true;
    this.options.onClose();
    if (this.readTimer !== null) clearTimeout(this.readTimer);
  }

  /** Handles the next request if all of it has arrived. */
  private handleNextRequest(): void {
    if (this.busy || this.ended) return;
    let request: HttpMessage | null;
    try {
      request = this.parser.next();
    } catch (error) {
      this.rejectMalformed(error);
      return;
    }
    this.updateReadTimer();
    if (request !== null) this.handle(request);
  }

  /** Starts the read timer when a request has arrived in part, and stops it when the request is complete. */
  private updateReadTimer(): void {
    const isPartial = !this.busy && !this.parser.idle;
    if (isPartial && this.readTimer === null)
      this.readTimer = setTimeout(() => this.socket.destroy(), this.options.readTimeoutMs);
    if (!isPartial && this.readTimer !== null) {
      clearTimeout(this.readTimer);
      this.readTimer = null;
    }
  }

  private handle(request: HttpMessage): void {
    this.busy = true;
    this.options.onIdleChange(false);
    this.updateReadTimer();
    const idleMs = this.options.idleTimeoutMs(request.path);
    if (idleMs !== this.idleTimeoutMs) {
      this.idleTimeoutMs = idleMs;
      this.socket.setTimeout(idleMs);
    }
    let answered = false;
    this.options.handler(request, (response) => {
      if (answered) return;
      answered = true;
      this.respond(response, request.keepAlive);
    });
  }

  private respond(response: HttpResponse, keepAlive: boolean): void {
    this.busy = false;
    if (this.ended || this.socket.destroyed) return;
    this.socket.write(formatResponse(response, !keepAlive));
    if (!keepAlive) {
      this.closeAfterWrites();
      return;
    }
    this.options.onIdleChange(true);
    this.socket.resume();
    this.handleNextRequest();
  }

  /** Responds to a malformed request and closes the connection. */
  private rejectMalformed(error: unknown): void {
    const status = error instanceof HttpError ? error.status : 400;
    this.socket.write(formatResponse({ status, body: EMPTY_BODY }, true));
    this.closeAfterWrites();
  }

  /** Closes the connection once all written bytes are sent, or after `readTimeoutMs` without activity. */
  private closeAfterWrites(): void {
    this.ended = true;
    this.socket.setTimeout(this.options.readTimeoutMs, () => this.socket.destroy());
    this.socket.end();
  }
}
