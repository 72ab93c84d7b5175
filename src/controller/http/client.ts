import net from 'node:net';
import { formatRequest, Parser, type Message } from './parser.js';
import type { Sockets } from './sockets.js';

export interface ClientOptions {
  /** Shared with all else that opens sockets. */
  sockets: Sockets;
  /** Connections kept or opened to one address. */
  perHost: number;
  /** An unused connection is closed after this time. */
  idleMs: number;
  maxBodyBytes: number;
}

interface Pending {
  bytes: Buffer;
  done: (m: Message | null) => void;
  timer: NodeJS.Timeout;
  connection: Connection | null;
  settled: boolean;
}

interface Connection {
  socket: net.Socket;
  parser: Parser;
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
    options.sockets.onShort(() => this.shed());
  }

  private shed(): boolean {
    for (const c of this.unused) {
      this.unused.delete(c);
      c.socket.destroy();
      return true;
    }
    return false;
  }

  /** Whether a request would find a connection at once without opening one. */
  connected(to: string): boolean {
    return (this.hosts.get(to)?.idle.length ?? 0) > 0;
  }

  request(
    to: string,
    method: string,
    path: string,
    body: Buffer | null,
    timeoutMs: number,
    done: (m: Message | null) => void,
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

  private settle(p: Pending, m: Message | null, drop: boolean): void {
    if (p.settled) return;
    p.settled = true;
    clearTimeout(p.timer);
    if (drop) p.connection?.socket.destroy();
    p.done(m);
  }

  private advance(to: string, host: Host): void {
    while (host.waiting.length > 0) {
      const first = host.waiting[0];
      if (first === undefined || first.settled) {
        host.waiting.shift();
        continue;
      }
      const c = this.takeIdle(host) ?? this.open(to, host);
      if (c === null) return;
      host.waiting.shift();
      this.unused.delete(c);
      c.current = first;
      first.connection = c;
      c.socket.setTimeout(0);
      c.socket.write(first.bytes);
    }
    if (host.connections.size === 0) this.hosts.delete(to);
  }

  private takeIdle(host: Host): Connection | undefined {
    for (;;) {
      const c = host.idle.pop();
      if (c?.socket.destroyed !== true) return c;
    }
  }

  private open(to: string, host: Host): Connection | null {
    if (host.connections.size >= this.options.perHost) return null;
    const colon = to.lastIndexOf(':');
    const socket = net.connect({
      host: to.slice(0, colon),
      port: Number(to.slice(colon + 1)),
      noDelay: true,
    });
    const c: Connection = {
      socket,
      parser: new Parser('response', {
        headBytes: 16 * 1024,
        bodyBytes: this.options.maxBodyBytes,
      }),
      current: null,
    };
    host.connections.add(c);
    this.options.sockets.add();
    socket.on('data', (bytes) => this.receive(to, host, c, bytes));
    socket.on('error', () => socket.destroy());
    socket.on('timeout', () => socket.destroy());
    socket.on('close', () => {
      this.options.sockets.remove();
      this.unused.delete(c);
      host.connections.delete(c);
      host.idle = host.idle.filter((x) => x !== c);
      const p = c.current;
      c.current = null;
      if (p !== null) this.settle(p, null, false);
      this.advance(to, host);
    });
    return c;
  }

  private receive(to: string, host: Host, c: Connection, bytes: Buffer): void {
    let m: Message | null;
    try {
      c.parser.push(bytes);
      m = c.parser.next();
    } catch {
      c.socket.destroy();
      return;
    }
    if (m === null) return;
    const p = c.current;
    c.current = null;
    // An answer nobody asked for would be taken for that of the next request.
    if (p === null || !c.parser.idle || !m.keepAlive) c.socket.destroy();
    else {
      host.idle.push(c);
      this.unused.add(c);
      c.socket.setTimeout(this.options.idleMs);
    }
    if (p !== null) this.settle(p, m, false);
    this.advance(to, host);
  }
}
