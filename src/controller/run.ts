import net from 'node:net';
import { randomBytes } from 'node:crypto';
import { Controller } from './controller.js';
import { makeLog, LOG_LEVELS } from './core/log.js';
import { NodeEnv } from './core/node-env.js';
import { uniform } from './core/random.js';
import { HttpServer } from './http/server.js';
import { Sockets } from './http/sockets.js';
import { readPeer } from './peers/listener.js';
import { REPORT_PATH } from './routes.js';
import type { Settings } from './settings/settings.js';
import { encodeBody } from './wire/cbor.js';

const BODY_BYTES = 64 * 1024;
const NONE = Buffer.alloc(0);

function split(addr: string): { host: string; port: number } {
  const colon = addr.lastIndexOf(':');
  return { host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)) };
}

/** Starts a controller on this machine; it runs until the process is killed. */
export function run(settings: Settings): void {
  const { platform } = settings;
  const wanted = process.env['LOG_LEVEL'] ?? 'info';
  const log = makeLog(LOG_LEVELS.includes(wanted) ? wanted : 'info', platform.host);
  const seed = randomBytes(8);
  const identity = `${platform.host}-${seed.toString('hex')}`;
  const sockets = new Sockets(
    Math.floor(platform.quota.sockets * settings.get('http.sockets.ratio')),
  );
  const env = new NodeEnv({
    sockets,
    random: uniform(seed.readInt32LE(0)),
    peers: platform.peers,
    peerRetryMs: settings.reportMs / 3,
  });
  const controller = new Controller(env, log, settings, identity);

  const fail = (err: Error): void => {
    log.error({ err }, 'cannot listen');
    process.exit(1);
  };
  // The error handlers below keep one connection's trouble from ending the process.
  process.on('uncaughtException', (err) => log.error({ err }, 'uncaught'));
  process.on('unhandledRejection', (err) => log.error({ err }, 'unhandled'));

  const api = new HttpServer(
    {
      ...split(platform.api),
      limits: { headBytes: 16 * 1024, bodyBytes: BODY_BYTES },
      sockets,
      maxSockets: platform.quota.sockets,
      readMs: 10_000,
      // Workers that are well report often: of one long silent only the connection is left.
      idleMs: (path) => (path === REPORT_PATH ? settings.reportMs * 2.5 : 60_000),
    },
    (request, respond) => {
      controller.request(request.method, request.path, request.body, (a) => {
        respond({
          status: a.status,
          body: a.raw ?? (a.body === undefined ? NONE : encodeBody(a.body)),
          ...(a.type === undefined ? {} : { type: a.type }),
          ...(a.retryAfterS === undefined ? {} : { retryAfterS: a.retryAfterS }),
          ...(a.allow === undefined ? {} : { allow: a.allow }),
        });
      });
    },
  );
  api.listen(() => log.info({ addr: platform.api, identity }, 'listening'), fail);

  const internal = net.createServer((socket) => readPeer(socket, controller));
  internal.maxConnections = Math.max(8, Math.floor(platform.quota.sockets * 0.02));
  internal.on('error', fail);
  const at = split(platform.internal);
  internal.listen(at.port, at.host);

  controller.start();
  setTimeout(() => {
    void import('./operators/metrics.js').then(({ Metrics }) => {
      controller.metrics = new Metrics();
    });
  }, settings.reportMs * 3);
}
