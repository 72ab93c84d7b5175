/** HTTP/1.1 client for calls to the state store, the cloud and the workers. */
import net from 'node:net';
import { splitAddress } from '../runtime/address.js';
import { formatRequest } from './formatting.js';
import { HttpParser, type HttpMessage } from './parser.js';
import type { SocketBudget } from './socket-budget.js';

/** Limits of the client. */
export interface ClientOptions {
  /** Budget that all owners of sockets share. */
  sockets: SocketBudget;
  /** Largest number of connections to one address. */
  maxConnectionsPerHost: number;
  /** An idle connection is closed after this time. */
  idleTimeoutMs: number;
  maxBodyBytes: number;
}

/** A request that waits for a connection or for its response. */
interface PendingRequest {
  bytes: Buffer;
  done: (response: HttpMessage | null) => void;
  timer: NodeJS.Timeout;
  /** The connection that it was sent on, `null` while it waits. */
  connection: Connection | null;
  /** Whether `done` has been called. */
  settled: boolean;
}

/** An open connection; it carries one request at a time. */
interface Connection {
  socket: net.Socket;
  parser: HttpParser;
  currentRequest: PendingRequest | null;
}

/** Connections to one address, and the requests that wait for one. */
interface HostConnections {
  connections: Set<Connection>;
  idle: Connection[];
  waiting: PendingRequest[];
}

/** HTTP/1.1 client on `net` with persistent connections. */
export class HttpClient {
  private readonly hosts = new Map<string, HostConnections>();
  /** Idle connections to all hosts, the longest idle first. */
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

  /** Whether a request would find an idle connection. */
  hasIdleConnection(address: string): boolean {
    return (this.hosts.get(address)?.idle.length ?? 0) > 0;
  }

  /** Sends a request once a connection is free. `done` gets `null` if there is no valid response in time. */
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

  /** Sends the waiting requests for which there is a connection. */
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
    // An unsolicited response would be taken for that of the next request.
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
