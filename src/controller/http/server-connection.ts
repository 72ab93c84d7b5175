/** One connection of the HTTP server: its requests, one at a time, and its deadlines. */
import type net from 'node:net';
import {
  formatResponse,
  HttpError,
  HttpParser,
  type MessageLimits,
  type HttpMessage,
  type HttpResponse,
} from './parser.js';

/** Answers a request; `respond` may be called later. */
export type RequestHandler = (
  request: HttpMessage,
  respond: (response: HttpResponse) => void,
) => void;

/** What a connection needs of its server. */
export interface ConnectionOptions {
  limits: MessageLimits;
  /** A started request has to be whole within this time. */
  readTimeoutMs: number;
  /** An idle connection is closed after this time, by the path last asked for ('' before any). */
  idleTimeoutMs: (path: string) => number;
  handler: RequestHandler;
  /** Whether a request is in progress has changed. */
  onIdleChange: (idle: boolean) => void;
  onClose: () => void;
}

const EMPTY_BODY = Buffer.alloc(0);

/** Reads requests from a socket and writes the responses in the same order. */
export class ServerConnection {
  private readonly parser: HttpParser;
  /** A request is being answered. */
  private busy = false;
  private ended = false;
  private idleMs: number;
  /** Runs while a request has begun and is not whole. */
  private deadline: NodeJS.Timeout | null = null;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: ConnectionOptions,
  ) {
    this.parser = new HttpParser('request', options.limits);
    this.idleMs = options.idleTimeoutMs('');
    socket.setTimeout(this.idleMs, () => socket.destroy());
    socket.on('data', (bytes) => this.receive(bytes));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.closed());
  }

  private receive(bytes: Buffer): void {
    if (this.ended) return;
    this.parser.push(bytes);
    // No pipelining in this protocol: a client that sends on without reading is made to wait.
    if (this.busy) this.socket.pause();
    else this.advance();
  }

  private closed(): void {
    this.ended = true;
    this.options.onClose();
    if (this.deadline !== null) clearTimeout(this.deadline);
  }

  /** Handles the next request if it is whole. */
  private advance(): void {
    if (this.busy || this.ended) return;
    let request: HttpMessage | null;
    try {
      request = this.parser.next();
    } catch (error) {
      this.refuse(error);
      return;
    }
    this.setDeadline();
    if (request !== null) this.handle(request);
  }

  /** A request that has begun must arrive whole in time. */
  private setDeadline(): void {
    const waiting = !this.busy && !this.parser.idle;
    if (waiting && this.deadline === null)
      this.deadline = setTimeout(() => this.socket.destroy(), this.options.readTimeoutMs);
    if (!waiting && this.deadline !== null) {
      clearTimeout(this.deadline);
      this.deadline = null;
    }
  }

  private handle(request: HttpMessage): void {
    this.busy = true;
    this.options.onIdleChange(false);
    this.setDeadline();
    const idleMs = this.options.idleTimeoutMs(request.path);
    if (idleMs !== this.idleMs) {
      this.idleMs = idleMs;
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
      this.finish();
      return;
    }
    this.options.onIdleChange(true);
    this.socket.resume();
    this.advance();
  }

  private refuse(error: unknown): void {
    const status = error instanceof HttpError ? error.status : 400;
    this.socket.write(formatResponse({ status, body: EMPTY_BODY }, true));
    this.finish();
  }

  /** Sends what is written and closes. */
  private finish(): void {
    this.ended = true;
    this.socket.setTimeout(this.options.readTimeoutMs, () => this.socket.destroy());
    this.socket.end();
  }
}
