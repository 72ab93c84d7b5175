/** The HTTP client for calls to services, workers and the cloud. */
import net from 'node:net';
import { formatRequest, HttpParser, type HttpMessage } from './parser.js';
import type { SocketBudget } from './socket-budget.js';

/** Limits of the client. */
export interface ClientOptions {
  /** Shared with all else that opens sockets. */
  sockets: SocketBudget;
  /** Connections kept or opened to one address. */
  maxConnectionsPerHost: number;
  /** An unused connection is closed after this time. */
  idleTimeoutMs: number;
  maxBodyBytes: number;
}

interface Pending {
  bytes: Buffer;
  done: (response: HttpMessage | null) => void;
  timer: NodeJS.Timeout;
  connection: Connection | null;
  settled: boolean;
}

interface Connection {
  socket: net.Socket;
  parser: HttpParser;
  current: Pending | null;
}

interface Host {
  connections: Set<Connection>;
  idle: Connection[];
  waiting: Pending[];
}

/** HTTP/1.1 client on `net` with kept connections. `null` as outcome means no response. */
export class HttpClient {
  private readonly hosts = new Map<string, Host>();
  /** Unused connections to all hosts, the longest unused first. */
  private readonly unused = new Set<Connection>();

  constructor(private readonly options: ClientOptions) {
    options.sockets.onExhausted(() => this.closeLongestIdle());
  }

  private closeLongestIdle(): boolean {
    for (const connection of this.unused) {
      this.unused.delete(connection);
      connection.socket.destroy();
      return true;
    }
    return false;
  }

  /** Whether a request would find a connection at once without opening one. */
  hasIdleConnection(to: string): boolean {
    return (this.hosts.get(to)?.idle.length ?? 0) > 0;
  }

  /** Sends a request once a connection is free; without response in time `done` gets null. */
  request(
    to: string,
    method: string,
    path: string,
    body: Buffer | null,
    timeoutMs: number,
    done: (response: HttpMessage | null) => void,
  ): void {
    let host = this.hosts.get(to);
    if (host === undefined) {
      host = { connections: new Set(), idle: [], waiting: [] };
      this.hosts.set(to, host);
    }
    const pending: Pending = {
      bytes: formatRequest(method, to, path, body),
      done,
      connection: null,
      settled: false,
      timer: setTimeout(() => this.settle(pending, null, true), timeoutMs),
    };
    host.waiting.push(pending);
    this.advance(to, host);
  }

  private settle(pending: Pending, response: HttpMessage | null, drop: boolean): void {
    if (pending.settled) return;
    pending.settled = true;
    clearTimeout(pending.timer);
    if (drop) pending.connection?.socket.destroy();
    pending.done(response);
  }

  private advance(to: string, host: Host): void {
    while (host.waiting.length > 0) {
      const first = host.waiting[0];
      if (first === undefined || first.settled) {
        host.waiting.shift();
        continue;
      }
      const connection = this.takeIdle(host) ?? this.open(to, host);
      if (connection === null) return;
      host.waiting.shift();
      this.unused.delete(connection);
      connection.current = first;
      first.connection = connection;
      connection.socket.setTimeout(0);
      connection.socket.write(first.bytes);
    }
    if (host.connections.size === 0) this.hosts.delete(to);
  }

  private takeIdle(host: Host): Connection | undefined {
    for (;;) {
      const connection = host.idle.pop();
      if (connection?.socket.destroyed !== true) return connection;
    }
  }

  private open(to: string, host: Host): Connection | null {
    if (host.connections.size >= this.options.maxConnectionsPerHost) return null;
    const colon = to.lastIndexOf(':');
    const socket = net.connect({
      host: to.slice(0, colon),
      port: Number(to.slice(colon + 1)),
      noDelay: true,
    });
    const connection: Connection = {
      socket,
      parser: new HttpParser('response', {
        headBytes: 16 * 1024,
        bodyBytes: this.options.maxBodyBytes,
      }),
      current: null,
    };
    host.connections.add(connection);
    this.options.sockets.opened();
    socket.on('data', (bytes) => this.receive(to, host, connection, bytes));
    socket.on('error', () => socket.destroy());
    socket.on('timeout', () => socket.destroy());
    socket.on('close', () => {
      this.options.sockets.closed();
      this.unused.delete(connection);
      host.connections.delete(connection);
      host.idle = host.idle.filter((other) => other !== connection);
      const pending = connection.current;
      connection.current = null;
      if (pending !== null) this.settle(pending, null, false);
      this.advance(to, host);
    });
    return connection;
  }

  private receive(to: string, host: Host, connection: Connection, bytes: Buffer): void {
    let response: HttpMessage | null;
    try {
      connection.parser.push(bytes);
      response = connection.parser.next();
    } catch {
      connection.socket.destroy();
      return;
    }
    if (response === null) return;
    const pending = connection.current;
    connection.current = null;
    // An answer nobody asked for would be taken for that of the next request.
    if (pending === null || !connection.parser.idle || !response.keepAlive)
      connection.socket.destroy();
    else {
      host.idle.push(connection);
      this.unused.add(connection);
      connection.socket.setTimeout(this.options.idleTimeoutMs);
    }
    if (pending !== null) this.settle(pending, response, false);
    this.advance(to, host);
  }
}
