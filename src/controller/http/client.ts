import net from 'node:net';
import { formatRequest, Parser, type Message } from './parser.js';

export interface ClientOptions {
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

  constructor(private readonly options: ClientOptions) {}

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
      const c = host.idle.pop() ?? this.open(to, host);
      if (c === null) return;
      host.waiting.shift();
      c.current = first;
      first.connection = c;
      c.socket.setTimeout(0);
      c.socket.write(first.bytes);
    }
    if (host.connections.size === 0) this.hosts.delete(to);
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
    socket.on('data', (bytes) => this.receive(to, host, c, bytes));
    socket.on('error', () => socket.destroy());
    socket.on('timeout', () => socket.destroy());
    socket.on('close', () => {
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
      c.socket.setTimeout(this.options.idleMs);
    }
    if (p !== null) this.settle(p, m, false);
    this.advance(to, host);
  }
}
