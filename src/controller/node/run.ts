/** Starts a controller in this process. */
import { randomBytes } from 'node:crypto';
import { Controller } from '../controller.js';
import { SocketBudget } from '../http/socket-budget.js';
import { HeapBudget, memoryWarning, type MemoryQuota } from '../runtime/heap-budget.js';
import { seededRandom } from '../runtime/random.js';
import type { Logger } from '../runtime/runtime.js';
import type { Settings } from '../settings/settings.js';
import { createApiServer } from './api-server.js';
import { createLogger, readLogLevel } from './logger.js';
import { NodeRuntime } from './node-runtime.js';
import { listenToPeers } from './peer-server.js';

/**
 * Number of random bytes in the process's identity. They distinguish the process from other processes on the
 * same host. The first four bytes also seed the process's random numbers.
 */
const SEED_BYTES = 8;
/** Time between two adjustments of V8's heap growth factor; see `HeapBudget`. */
const HEAP_CHECK_INTERVAL_MS = 1000;
/** Largest number of attempts to connect to a peer per heartbeat interval. */
const PEER_ATTEMPTS_PER_HEARTBEAT = 3;
/**
 * Time from the start until the metrics library is loaded, in heartbeat intervals. The delay keeps the start
 * short.
 */
const METRICS_DELAY_HEARTBEATS = 3;

/** Starts a controller, which runs until the process is killed. */
export function run(settings: Settings): void {
  const { platform } = settings;
  const log = createLogger(readLogLevel(process.env['LOG_LEVEL']), platform.host);
  limitHeap(platform.quota, log);
  const seed = randomBytes(SEED_BYTES);
  const identity = `${platform.host}-${seed.toString('hex')}`;
  const maxSockets = platform.quota.maxSockets * settings.get('http.sockets.ratio');
  const sockets = new SocketBudget(Math.floor(maxSockets));
  const runtime = createRuntime(settings, sockets, seed);
  const controller = new Controller(runtime, log, settings, identity);
  logUncaughtErrors(log);
  const exitOnListenError = (err: Error): void => {
    log.error({ err }, 'cannot listen for connections');
    process.exit(1);
  };
  createApiServer(settings, sockets, controller).listen(
    () => log.info({ addr: platform.apiAddr, identity }, 'listening'),
    exitOnListenError,
  );
  listenToPeers(settings, controller, exitOnListenError);
  controller.start();
  loadMetrics(settings, controller);
}

/** Keeps the heap within the memory quota; logs a warning if the quota is too small for a leader. */
function limitHeap(quota: MemoryQuota, log: Logger): void {
  const warning = memoryWarning(quota);
  if (warning !== null) log.warn({}, warning);
  const budget = new HeapBudget(quota);
  budget.adjust();
  setInterval(() => budget.adjust(), HEAP_CHECK_INTERVAL_MS);
}

function createRuntime(settings: Settings, sockets: SocketBudget, seed: Buffer): NodeRuntime {
  return new NodeRuntime({
    sockets,
    random: seededRandom(seed.readInt32LE(0)),
    peers: settings.platform.peers,
    peerRetryMs: settings.heartbeatIntervalMs / PEER_ATTEMPTS_PER_HEARTBEAT,
  });
}

/** Logs uncaught errors instead of exiting: an error on one connection must not end the process. */
function logUncaughtErrors(log: Logger): void {
  process.on('uncaughtException', (err) => log.error({ err }, 'uncaught exception'));
  process.on('unhandledRejection', (err) => log.error({ err }, 'unhandled rejection'));
}

function loadMetrics(settings: Settings, controller: Controller): void {
  setTimeout(() => {
    void import('../operators/metrics.js').then(({ Metrics }) => {
      controller.metrics = new Metrics();
    });
  }, settings.heartbeatIntervalMs * METRICS_DELAY_HEARTBEATS);
}
