/** HTTP/1.1 with CBOR bodies: the servers and the client of all stand-ins. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { decode, encode } from 'cborg';

export type Fields = Record<string, unknown>;

/** A request that a stand-in serves. */
export interface Request {
  method: string;
  path: string;
  query: URLSearchParams;
  body: Fields;
}

/** A response; `bytes` is the length of the body in the call's result. */
export interface Reply {
  status: number;
  body: Fields;
}

/** Serves a request. A promise that never resolves leaves the request unanswered. */
export type Handler = (request: Request) => Reply | Promise<Reply>;

export const EMPTY: Fields = {};

function toFields(bytes: Buffer): Fields {
  if (bytes.length === 0) return EMPTY;
  const value: unknown = decode(bytes);
  return typeof value === 'object' && value !== null && !Array.isArray(value)
    ? (value as Fields)
    : EMPTY;
}

async function serveOne(
  handler: Handler,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const url = new URL(request.url ?? '/', 'http://loopback');
  const reply = await handler({
    method: request.method ?? '',
    path: url.pathname,
    query: url.searchParams,
    body: toFields(Buffer.concat(chunks)),
  });
  const body = Buffer.from(encode(reply.body));
  response.writeHead(reply.status, {
    'Content-Type': 'application/cbor',
    'Content-Length': body.length,
  });
  response.end(body);
}

/** Starts a server on a free loopback port and returns its address. */
export async function listen(handler: Handler): Promise<string> {
  const server = http.createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
    serveOne(handler, request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Ports from which those of the controllers are taken, below those that the system gives to connections. */
const FIRST_PORT = 12_000;
const PORTS = 18_000;

function isFree(port: number): Promise<boolean> {
  const server = http.createServer();
  return new Promise((resolve) => {
    server.on('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Returns loopback addresses with ports that were free a moment ago. */
export async function freeAddresses(count: number): Promise<string[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (!ports.has(port) && (await isFree(port))) ports.add(port);
  }
  return [...ports].map((port) => `127.0.0.1:${port}`);
}

/** Encodes a body and returns its bytes. */
export function encodeBody(body: Fields): Buffer {
  return Buffer.from(encode(body));
}

/** Sends a request. The status is 0 if no response arrives within the time-out. */
export function call(
  agent: http.Agent,
  address: string,
  method: string,
  path: string,
  body: Buffer | null,
  timeoutMs: number,
): Promise<Reply> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const noReply = (): void => resolve({ status: 0, body: EMPTY });
    const headers =
      body === null ? {} : { 'Content-Type': 'application/cbor', 'Content-Length': body.length };
    const request = http.request({ agent, host, port, method, path, headers }, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', noReply);
      response.on('end', () => {
        clearTimeout(timer);
        try {
          resolve({ status: response.statusCode ?? 0, body: toFields(Buffer.concat(chunks)) });
        } catch {
          resolve({ status: 0, body: EMPTY });
        }
      });
    });
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.on('error', () => {
      clearTimeout(timer);
      noReply();
    });
    request.on('close', () => {
      clearTimeout(timer);
      noReply();
    });
    request.end(body ?? undefined);
  });
}
