import assert from 'node:assert/strict';
import net from 'node:net';
import { after, before, describe, it } from 'node:test';
import { HttpClient } from './client.js';
import { HttpServer } from './server.js';
import { SocketBudget } from './socket-budget.js';

const port = 39_471;

describe('over a loopback connection', () => {
  let server: HttpServer;
  before(
    () =>
      new Promise<void>((resolve, reject) => {
        server = new HttpServer(
          {
            host: '127.0.0.1',
            port,
            limits: { headBytes: 1024, bodyBytes: 64 },
            sockets: new SocketBudget(20),
            maxSockets: 24,
            readTimeoutMs: 200,
            idleTimeoutMs: () => 2000,
          },
          (request, respond) => {
            if (request.path === '/silent') return;
            respond({ status: 200, body: request.body });
          },
        );
        server.listen(resolve, reject);
      }),
  );
  after(() => server.close());

  const sendRaw = (text: string): Promise<string> =>
    new Promise((resolve) => {
      const socket = net.connect({ host: '127.0.0.1', port });
      let received = '';
      socket.on('data', (b) => (received += b.toString('latin1')));
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(received));
      socket.write(text);
    });

  it('the server responds with 400 to malformed bytes and 413 to a body above the limit, and closes', async () => {
    assert.match(await sendRaw('\0\0\0\0\r\n\r\n'), /^HTTP\/1\.1 400 /);
    assert.match(
      await sendRaw('POST / HTTP/1.1\r\nContent-Length: 999\r\n\r\n'),
      /^HTTP\/1\.1 413 /,
    );
  });

  it('the server closes without a response if a request is incomplete at the time-out', async () => {
    assert.equal(await sendRaw('POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab'), '');
  });

  // Guards against refused connections: with 885 workers at one node and a limit of 1200 sockets, the node
  // refused new connections, including those of workers.
  it('the server closes the longest idle connections when the socket budget is exhausted, and serves new connections', async () => {
    const closed: number[] = [];
    const openSockets: net.Socket[] = [];
    const openAndRequest = (i: number): Promise<void> =>
      new Promise((resolve) => {
        const socket = net.connect({ host: '127.0.0.1', port });
        socket.on('error', () => undefined);
        socket.on('close', () => closed.push(i));
        socket.on('data', () => resolve());
        socket.write('POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx');
        openSockets.push(socket);
      });
    for (let i = 0; i < 23; i++) await openAndRequest(i);
    assert.deepEqual(closed, [0, 1, 2]);
    for (const s of openSockets) s.destroy();
  });

  it('the client reuses a connection, and returns null for a time-out or an unreachable address', async () => {
    const client = new HttpClient({
      ...{
        sockets: new SocketBudget(10),
        maxConnectionsPerHost: 1,
        idleTimeoutMs: 50,
        maxBodyBytes: 1024,
      },
    });
    const call = (path: string, body: string, ms: number): Promise<string | null> =>
      new Promise((resolve) => {
        client.request(`127.0.0.1:${port}`, 'POST', path, Buffer.from(body), ms, (m) =>
          resolve(m === null ? null : m.body.toString()),
        );
      });
    assert.deepEqual(await Promise.all(['a', 'b', 'c'].map((b) => call('/', b, 1000))), [
      'a',
      'b',
      'c',
    ]);
    assert.equal(await call('/silent', 'x', 50), null);
    assert.equal(await call('/', 'again', 1000), 'again');
    const unreachableResponse = await new Promise((resolve) => {
      client.request('127.0.0.1:9', 'GET', '/', null, 500, resolve);
    });
    assert.equal(unreachableResponse, null);
  });
});
