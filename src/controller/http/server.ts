/** HTTP/1.1 server of the API. */
import net from 'node:net';
import type { MessageLimits } from './parser.js';
import { ServerConnection, type RequestHandler } from './server-connection.js';
import type { SocketBudget } from './socket-budget.js';

export type { RequestHandler } from './server-connection.js';

/** Address and limits of an HTTP server. */
export interface ServerOptions {
  host: string;
  port: number;
  limits: MessageLimits;
  /** Budget of open sockets that all clients and servers of the process share. */
  sockets: SocketBudget;
  /** Largest number of open connections; further connections are closed when they are accepted. */
  maxSockets: number;
  /** Longest time from the arrival of a request's first byte to the arrival of its last byte. */
  readTimeoutMs: number;
  /** Returns the idle time-out for the path of a connection's last request ('' before the first request). */
  idleTimeoutMs: (path: string) => number;
}

/** HTTP/1.1 server that handles one request at a time per connection, without pipelining. */
export class HttpServer {
  private readonly server: net.Server;
  /** Sockets on which no request is being handled, the longest idle first. */
  private readonly idleSockets = new Set<net.Socket>();

  constructor(
    private readonly options: ServerOptions,
    private readonly handler: RequestHandler,
  ) {
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server.maxConnections = options.maxSockets;
    options.sockets.onExhausted(() => this.closeLongestIdle());
  }

  private closeLongestIdle(): boolean {
    for (const socket of this.idleSockets) {
      this.idleSockets.delete(socket);
      socket.destroy();
      return true;
    }
    return false;
  }

  /** Starts to listen; `onError` is called with each error of the listening socket. */
  listen(onListening: () => void, onError: (err: Error) => void): void {
    this.server.on('error', onError);
    this.server.listen(this.options.port, this.options.host, onListening);
  }

  /** Stops accepting connections. */
  close(): void {
    this.server.close();
  }

  private accept(socket: net.Socket): void {
    const { sockets, limits, readTimeoutMs, idleTimeoutMs } = this.options;
    sockets.opened();
    this.idleSockets.add(socket);
    new ServerConnection(socket, {
      limits,
      readTimeoutMs,
      idleTimeoutMs,
      handler: this.handler,
      onIdleChange: (idle) => {
        if (idle) this.idleSockets.add(socket);
        else this.idleSockets.delete(socket);
      },
      onClose: () => {
        sockets.closed();
        this.idleSockets.delete(socket);
      },
    });
  }
}
