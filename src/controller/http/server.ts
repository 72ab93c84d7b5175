import net from 'node:net';
import {
  formatResponse,
  HttpError,
  Parser,
  type Limits,
  type Message,
  type Response,
} from './parser.js';
import type { Sockets } from './sockets.js';

export interface ServerOptions {
  host: string;
  port: number;
  limits: Limits;
  /** Shared with all else that opens sockets. */
  sockets: Sockets;
  /** Connections at once; further ones are closed on arrival. */
  maxSockets: number;
  /** A started request has to be whole within this time. */
  readMs: number;
  /** An idle connection is closed after this time, by the path last asked for ('' before any). */
  idleMs: (path: string) => number;
}

export type Handler = (request: Message, respond: (r: Response) => void) => void;

const NONE = Buffer.alloc(0);

/** Serves HTTP/1.1 on `net`: one request at a time a connection, answered in order. */
export class HttpServer {
  private readonly server: net.Server;
  /** Connections without a request in progress, the longest idle first. */
  private readonly idle = new Set<net.Socket>();

  constructor(
    private readonly options: ServerOptions,
    private readonly handler: Handler,
  ) {
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server.maxConnections = options.maxSockets;
    options.sockets.onShort(() => this.shed());
  }

  private shed(): boolean {
    for (const socket of this.idle) {
      this.idle.delete(socket);
      socket.destroy();
      return true;
    }
    return false;
  }

  listen(done: () => void, failed: (err: Error) => void): void {
    this.server.on('error', failed);
    this.server.listen(this.options.port, this.options.host, done);
  }

  close(): void {
    this.server.close();
  }

  private accept(socket: net.Socket): void {
    const { sockets, idleMs } = this.options;
    sockets.add();
    this.idle.add(socket);
    let patience = idleMs('');
    const parser = new Parser('request', this.options.limits);
    let busy = false;
    let ended = false;

    const finish = (): void => {
      ended = true;
      socket.setTimeout(this.options.readMs, () => socket.destroy());
      socket.end();
    };
    const refuse = (err: unknown): void => {
      if (ended) return;
      const status = err instanceof HttpError ? err.status : 400;
      socket.write(formatResponse({ status, body: NONE }, true));
      finish();
    };
    // Deadlines: a request that has begun must arrive whole; idle connections go in the end.
    let deadline: NodeJS.Timeout | null = null;
    const watch = (): void => {
      const waiting = !busy && !parser.idle;
      if (waiting && deadline === null)
        deadline = setTimeout(() => socket.destroy(), this.options.readMs);
      if (!waiting && deadline !== null) {
        clearTimeout(deadline);
        deadline = null;
      }
    };
    const pump = (): void => {
      if (busy || ended) return;
      let request: Message | null;
      try {
        request = parser.next();
      } catch (err) {
        refuse(err);
        return;
      }
      watch();
      if (request === null) return;
      const { keepAlive } = request;
      busy = true;
      this.idle.delete(socket);
      watch();
      if (idleMs(request.path) !== patience) {
        patience = idleMs(request.path);
        socket.setTimeout(patience);
      }
      let answered = false;
      this.handler(request, (r) => {
        if (answered) return;
        answered = true;
        busy = false;
        if (ended || socket.destroyed) return;
        socket.write(formatResponse(r, !keepAlive));
        if (!keepAlive) finish();
        else {
          this.idle.add(socket);
          socket.resume();
          pump();
        }
      });
    };

    socket.setTimeout(patience, () => socket.destroy());
    socket.on('data', (bytes) => {
      if (ended) return;
      parser.push(bytes);
      // No pipelining in this protocol: a client that sends on without reading is made to wait.
      if (busy) socket.pause();
      else pump();
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      ended = true;
      sockets.remove();
      this.idle.delete(socket);
      if (deadline !== null) clearTimeout(deadline);
    });
  }
}
