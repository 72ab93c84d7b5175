/** HTTP/1.1 client for calls to the state store, the cloud and the workers. */
import net from 'node:net';
import { splitAddress } from '../runtime/address.js';
import { formatRequest } from './formatting.js';
import { HttpParser, type HttpMessage } from './parser.js';
import type { SocketBudget } from './socket-budget.js';

/** Limits of an HTTP client. */
export interface ClientOptions {
  /** Budget of open sockets that all clients and servers of the process share. */
  sockets: SocketBudget;
  /** Largest number of open connections to one address. */
  maxConnectionsPerHost: number;
  /** Time after which an idle connection is closed. */
  idleTimeoutMs: number;
  /** Largest response body that is accepted, in bytes. */
  maxBodyBytes: number;
}

/** A request that waits for a connection or for its response. */
interface PendingRequest {
  bytes: Buffer;
  done: (response: HttpMessage | null) => void;
  timer: NodeJS.Timeout;
  /** The connection on which the request was sent, or null while it waits for one. */
  connection: Connection | null;
  /** Whether `done` has been called. */
  settled: boolean;
}

/** A connection, which carries one request at a time. */
interface Connection {
  socket: net.Socket;
  parser: HttpParser;
  currentRequest: PendingRequest | null;
}

/** The connections to one address, and the requests that wait for a connection to it. */
interface HostConnections {
  connections: Set<Connection>;
  idle: Connection[];
  waiting: PendingRequest[];
}

/** HTTP/1.1 client with persistent connections. */
export class HttpClient {
  /** Connections by address. */
  private readonly hosts = new Map<string, HostConnections>();
  /** Idle connections to all addresses, the longest idle first. */
  private readonly idleConnections = new Set<Connection>();

  constructor(private readonly options: ClientOptions) {
    options.sockets.onExhausted(() => this.closeLongestIdle());
  }

  private closeLongestIdle(): boolean {
    for (const connection of this.idleConnections) {
      this.idleConnections.delete(connection);
      connection.socket.destroy();
      return true;
    }
    return false;
  }

  /** Whether a connection to the address is idle, so that a request needs no new connection. */
  hasIdleConnection(address: string): boolean {
    return (this.hosts.get(address)?.idle.length ?? 0) > 0;
  }

  /**
   * Sends a request as soon as a connection is available. `done` is called once: with the response, or with
   * null if the connection fails or no valid response arrives within `timeoutMs`.
   */
  request(
    address: string,
    method: string,
    path: string,
    body: Buffer | null,
    timeoutMs: number,
    done: (response: HttpMessage | null) => void,
  ): void {
    let host = this.hosts.get(address);
    if (host === undefined) {
      host = { connections: new Set(), idle: [], waiting: [] };
      this.hosts.set(address, host);
    }
    const pending: PendingRequest = {
      bytes: formatRequest(method, address, path, body),
      done,
      connection: null,
      settled: false,
      timer: setTimeout(() => this.settle(pending, null, true), timeoutMs),
    };
    host.waiting.push(pending);
    this.sendWaiting(address, host);
  }

  private settle(
    pending: PendingRequest,
    response: HttpMessage | null,
    closeConnection: boolean,
  ): void {
    if (pending.settled) return;
    pending.settled = true;
    clearTimeout(pending.timer);
    if (closeConnection) pending.connection?.socket.destroy();
    pending.done(response);
  }

  /** Sends waiting requests, in order of arrival, until no connection is available. */
  private sendWaiting(address: string, host: HostConnections): void {
    while (host.waiting.length > 0) {
      const first = host.waiting[0];
      if (first === undefined || first.settled) {
        host.waiting.shift();
        continue;
      }
      const connection = this.takeIdle(host) ?? this.open(address, host);
      if (connection === null) return;
      host.waiting.shift();
      this.idleConnections.delete(connection);
      connection.currentRequest = first;
      first.connection = connection;
      connection.socket.setTimeout(0);
      connection.socket.write(first.bytes);
    }
    if (host.connections.size === 0) this.hosts.delete(address);
  }

  private takeIdle(host: HostConnections): Connection | undefined {
    for (;;) {
      const connection = host.idle.pop();
      if (connection?.socket.destroyed !== true) return connection;
    }
  }

  private open(address: string, host: HostConnections): Connection | null {
    if (host.connections.size >= this.options.maxConnectionsPerHost) return null;
    const socket = net.connect({
      ...splitAddress(address),
      noDelay: true,
    });
    const connection: Connection = {
      socket,
      parser: new HttpParser('response', {
        headBytes: 16 * 1024,
        bodyBytes: this.options.maxBodyBytes,
      }),
      currentRequest: null,
    };
    host.connections.add(connection);
    this.options.sockets.opened();
    socket.on('data', (bytes) => this.receive(address, host, connection, bytes));
    socket.on('error', () => socket.destroy());
    socket.on('timeout', () => socket.destroy());
    socket.on('close', () => {
      this.options.sockets.closed();
      this.idleConnections.delete(connection);
      host.connections.delete(connection);
      host.idle = host.idle.filter((other) => other !== connection);
      const pending = connection.currentRequest;
      connection.currentRequest = null;
      if (pending !== null) this.settle(pending, null, false);
      this.sendWaiting(address, host);
    });
    return connection;
  }

  private receive(
    address: string,
    host: HostConnections,
    connection: Connection,
    bytes: Buffer,
  ): void {
    let response: HttpMessage | null;
    try {
      connection.parser.push(bytes);
      response = connection.parser.next();
    } catch {
      connection.socket.destroy();
      return;
    }
    if (response === null) return;
    const pending = connection.currentRequest;
    connection.currentRequest = null;
    // Bytes that arrive after the response belong to no request. If the connection were kept, they would be read
    // as the response to the next request.
    if (pending === null || !connection.parser.idle || !response.keepAlive)
      connection.socket.destroy();
    else {
      host.idle.push(connection);
      this.idleConnections.add(connection);
      connection.socket.setTimeout(this.options.idleTimeoutMs);
    }
    if (pending !== null) this.settle(pending, response, false);
    this.sendWaiting(address, host);
  }
}
