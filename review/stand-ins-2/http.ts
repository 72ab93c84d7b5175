/** HTTP/1.1 with CBOR bodies, for the stand-ins: a server, a client, and free ports. */
import http from 'node:http';
import net from 'node:net';
import { decode, encode } from 'cborg';

/** A decoded body: a map with text keys. */
export type Fields = Record<string, unknown>;

export interface Request {
  method: string;
  path: string;
  query: URLSearchParams;
  body: unknown;
  /** Length of the body in the JSON form in which the pages count sizes. */
  jsonBytes: number;
}

export interface Reply {
  status: number;
  body?: unknown;
}

/** Answers a request; null leaves it without an answer. */
export type Handler = (request: Request) => Reply | null | Promise<Reply | null>;

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

export function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

export function listOf(value: unknown): Fields[] {
  return Array.isArray(value) ? value.filter(isFields) : [];
}

export function textOf(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

/** Length in bytes of a value in JSON. */
export function jsonBytes(value: unknown): number {
  return value === undefined ? 0 : Buffer.byteLength(JSON.stringify(value));
}

function decodeOrNull(bytes: Buffer): unknown {
  if (bytes.length === 0) return null;
  try {
    return decode(bytes, { useMaps: false }) as unknown;
  } catch {
    return null;
  }
}

async function readAll(stream: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of stream) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

async function answer(
  incoming: http.IncomingMessage,
  outgoing: http.ServerResponse,
  handler: Handler,
): Promise<void> {
  const body = decodeOrNull(await readAll(incoming));
  const [path = '', query = ''] = (incoming.url ?? '/').split('?', 2);
  const reply = await handler({
    method: incoming.method ?? 'GET',
    path,
    query: new URLSearchParams(query),
    body,
    jsonBytes: body === null ? 0 : jsonBytes(body),
  });
  if (reply === null || outgoing.destroyed) return;
  const bytes = reply.body === undefined ? Buffer.alloc(0) : Buffer.from(encode(reply.body));
  outgoing.writeHead(reply.status, {
    'Content-Type': 'application/cbor',
    'Content-Length': bytes.length,
  });
  outgoing.end(bytes);
}

/** Starts a server on a free port of 127.0.0.1, or on the given one; returns its address. */
export async function serve(handler: Handler): Promise<{ address: string; close: () => void }> {
  const server = http.createServer((incoming, outgoing) => {
    answer(incoming, outgoing, handler).catch(() => outgoing.destroy());
  });
  server.keepAliveTimeout = 0;
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  const close = (): void => {
    server.close();
    server.closeAllConnections();
  };
  return { address: `127.0.0.1:${port}`, close };
}

/** Ports below the range that systems use for outgoing connections, which could take a port meanwhile. */
const PORTS = { first: 10_000, count: 20_000 };

function tryPort(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Returns a port of 127.0.0.1 that is free now. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = PORTS.first + Math.floor(Math.random() * PORTS.count);
    if (await tryPort(port)) return port;
  }
}

/** A client with connections of its own, which it keeps open. */
export class Client {
  private readonly agent: http.Agent;

  constructor(maxSockets = 1) {
    this.agent = new http.Agent({ keepAlive: true, maxSockets });
  }

  close(): void {
    this.agent.destroy();
  }

  /** Sends a request; returns null if no answer arrives in time or the connection fails. */
  call(
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Reply | null> {
    const bytes = body === undefined ? null : Buffer.from(encode(body));
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve) => {
      const headers =
        bytes === null
          ? {}
          : { 'Content-Type': 'application/cbor', 'Content-Length': bytes.length };
      const request = http.request(
        { host, port: Number(port), method, path, agent: this.agent, headers },
        (incoming) => {
          readAll(incoming).then(
            (received) => {
              clearTimeout(timer);
              resolve({ status: incoming.statusCode ?? 0, body: decodeOrNull(received) });
            },
            () => resolve(null),
          );
        },
      );
      const timer = setTimeout(() => request.destroy(), timeoutMs);
      request.on('error', () => {
        clearTimeout(timer);
        resolve(null);
      });
      if (bytes !== null) request.write(bytes);
      request.end();
    });
  }
}
