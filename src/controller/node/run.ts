/** Puts a controller on the network and starts it. */
import net from 'node:net';
import { randomBytes } from 'node:crypto';
import { Controller } from '../controller.js';
import { splitAddress } from '../runtime/address.js';
import type { Logger } from '../runtime/runtime.js';
import { HeapBudget, memoryWarning, type MemoryQuota } from '../runtime/heap-budget.js';
import { createLogger, LOG_LEVELS } from './logger.js';
import { NodeRuntime } from './node-runtime.js';
import { seededRandom } from '../runtime/random.js';
import type { HttpResponse } from '../http/parser.js';
import { HttpServer, type RequestHandler } from '../http/server.js';
import { SocketBudget } from '../http/socket-budget.js';
import type { ApiResponse } from '../jobs/api-response.js';
import { readPeerConnection } from '../peers/peer-connection.js';
import { HEARTBEAT_PATH } from '../api/heartbeat-endpoint.js';
import type { Settings } from '../settings/settings.js';
import { encodeBody } from '../wire/cbor.js';

const HEAD_BYTES = 16 * 1024;
const BODY_BYTES = 64 * 1024;
const EMPTY_BODY = Buffer.alloc(0);
const REQUEST_READ_MS = 10_000;
const HEAP_CHECK_MS = 1000;
const USER_IDLE_MS = 60_000;
/** Workers that are well report often: of one long silent only the connection is left. */
const WORKER_IDLE_REPORTS = 2.5;
/** Share of the sockets that peers may open, and the least number of them. */
const PEER_SOCKETS_RATIO = 0.02;
const MIN_PEER_SOCKETS = 8;

function openLog(host: string): Logger {
  const wanted = process.env['LOG_LEVEL'] ?? 'info';
  return createLogger(LOG_LEVELS.includes(wanted) ? wanted : 'info', host);
}

/** Starts a controller on this machine; it runs until the process is killed. */
export function run(settings: Settings): void {
  const { platform } = settings;
  const log = openLog(platform.host);
  boundHeap(platform.quota, log);
  const seed = randomBytes(8);
  const identity = `${platform.host}-${seed.toString('hex')}`;
  const sockets = new SocketBudget(
    Math.floor(platform.quota.maxSockets * settings.get('http.sockets.ratio')),
  );
  const runtime = new NodeRuntime({
    sockets,
    random: seededRandom(seed.readInt32LE(0)),
    peers: platform.peers,
    peerRetryMs: settings.heartbeatIntervalMs / 3,
  });
  const controller = new Controller(runtime, log, settings, identity);
  const fail = (err: Error): void => {
    log.error({ err }, 'cannot listen');
    process.exit(1);
  };
  // The error handlers below keep one connection's trouble from ending the process.
  process.on('uncaughtException', (err) => log.error({ err }, 'uncaught'));
  process.on('unhandledRejection', (err) => log.error({ err }, 'unhandled'));
  createApi(settings, sockets, controller).listen(
    () => log.info({ addr: platform.apiAddr, identity }, 'listening'),
    fail,
  );
  listenToPeers(settings, controller, fail);
  controller.start();
  loadMetrics(settings, controller);
}

/** Keeps the heap within the process's memory, or says that it will not fit. */
function boundHeap(quota: MemoryQuota, log: Logger): void {
  const warning = memoryWarning(quota);
  if (warning !== null) log.warn({}, warning);
  const budget = new HeapBudget(quota);
  budget.adjust();
  setInterval(() => budget.adjust(), HEAP_CHECK_MS);
}

function createApi(settings: Settings, sockets: SocketBudget, controller: Controller): HttpServer {
  const { platform } = settings;
  const options = {
    ...splitAddress(platform.apiAddr),
    limits: { headBytes: HEAD_BYTES, bodyBytes: BODY_BYTES },
    sockets,
    maxSockets: platform.quota.maxSockets,
    readTimeoutMs: REQUEST_READ_MS,
    idleTimeoutMs: (path: string) =>
      path === HEARTBEAT_PATH ? settings.heartbeatIntervalMs * WORKER_IDLE_REPORTS : USER_IDLE_MS,
  };
  return new HttpServer(options, apiHandler(controller));
}

function apiHandler(controller: Controller): RequestHandler {
  return (request, respond) => {
    const { method, path, body } = request;
    controller.request(method, path, body, (answer) => respond(encodeAnswer(answer)));
  };
}

function encodeAnswer(answer: ApiResponse): HttpResponse {
  const { status, body, encodedBody, retryAfterS, allow } = answer;
  return {
    status,
    body: encodedBody?.bytes ?? (body === undefined ? EMPTY_BODY : encodeBody(body)),
    ...(encodedBody === undefined ? {} : { contentType: encodedBody.contentType }),
    ...(retryAfterS === undefined ? {} : { retryAfterS }),
    ...(allow === undefined ? {} : { allow }),
  };
}

function listenToPeers(
  settings: Settings,
  controller: Controller,
  fail: (err: Error) => void,
): void {
  const { quota, internalAddr } = settings.platform;
  const server = net.createServer((socket) => readPeerConnection(socket, controller));
  const share = Math.floor(quota.maxSockets * PEER_SOCKETS_RATIO);
  server.maxConnections = Math.max(MIN_PEER_SOCKETS, share);
  server.on('error', fail);
  const { host, port } = splitAddress(internalAddr);
  server.listen(port, host);
}

/** The metrics' library is loaded once the controller has had time to start. */
function loadMetrics(settings: Settings, controller: Controller): void {
  setTimeout(() => {
    void import('../operators/metrics.js').then(({ Metrics }) => {
      controller.metrics = new Metrics();
    });
  }, settings.heartbeatIntervalMs * 3);
}
