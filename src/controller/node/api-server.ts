/** HTTP server of a controller's API. */
import { HEARTBEAT_PATH } from '../api/heartbeat-endpoint.js';
import { encodeResponseBody } from '../api/response-body.js';
import type { Controller } from '../controller.js';
import type { HttpResponse } from '../http/formatting.js';
import { HttpServer, type RequestHandler } from '../http/server.js';
import type { SocketBudget } from '../http/socket-budget.js';
import type { ApiResponse } from '../jobs/api-response.js';
import { splitAddress } from '../runtime/address.js';
import type { Settings } from '../settings/settings.js';

/** Largest size of a request's head (request line and headers). */
const MAX_HEAD_BYTES = 16 * 1024;
/** Largest size of a request body. */
const MAX_BODY_BYTES = 64 * 1024;
/** Time within which a request must arrive completely. */
const READ_TIMEOUT_MS = 10_000;
/** Idle time-out of a connection whose last request was not a heartbeat. */
const USER_IDLE_TIMEOUT_MS = 60_000;
/** Idle time-out of a worker's connection, in heartbeat intervals. */
const WORKER_IDLE_HEARTBEATS = 2.5;

/** Creates the API server. It does not accept connections until `listen` is called. */
export function createApiServer(
  settings: Settings,
  sockets: SocketBudget,
  controller: Controller,
): HttpServer {
  const { platform, heartbeatIntervalMs } = settings;
  const workerIdleTimeoutMs = heartbeatIntervalMs * WORKER_IDLE_HEARTBEATS;
  const options = {
    ...splitAddress(platform.apiAddr),
    limits: { headBytes: MAX_HEAD_BYTES, bodyBytes: MAX_BODY_BYTES },
    sockets,
    maxSockets: platform.quota.maxSockets,
    readTimeoutMs: READ_TIMEOUT_MS,
    idleTimeoutMs: (path: string) =>
      path === HEARTBEAT_PATH ? workerIdleTimeoutMs : USER_IDLE_TIMEOUT_MS,
  };
  return new HttpServer(options, createRequestHandler(controller));
}

function createRequestHandler(controller: Controller): RequestHandler {
  return ({ method, path, body }, respond) =>
    controller.request(method, path, body, (response) => respond(toHttpResponse(response)));
}

function toHttpResponse(response: ApiResponse): HttpResponse {
  const { status, body, encodedBody, retryAfterS, allow } = response;
  return {
    status,
    body: encodedBody?.bytes ?? encodeResponseBody(body),
    ...(encodedBody === undefined ? {} : { contentType: encodedBody.contentType }),
    ...(retryAfterS === undefined ? {} : { retryAfterS }),
    ...(allow === undefined ? {} : { allow }),
  };
}
