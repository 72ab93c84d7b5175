/** API client of the operators' commands. */
import { HttpClient } from '../http/client.js';
import { SocketBudget } from '../http/socket-budget.js';
import { decodeBody, encodeBody, isMap } from '../wire/cbor.js';

/** Time limit for one request and its response. */
const TIMEOUT_MS = 5000;
/** Idle time-out of the connection; short, because a command sends only one request. */
const IDLE_TIMEOUT_MS = 10;
const MAX_RESPONSE_BYTES = 1024 * 1024;

/** A request to the API. */
export interface ApiRequest {
  method: 'GET' | 'POST';
  path: string;
  /** Sent as CBOR unless it is undefined. */
  body?: unknown;
}

/** Result of a request, as text for the operator: the response body, or why the request failed. */
export interface ApiResult {
  ok: boolean;
  text: string;
}

/** Sends one request to the controller at `address`. Never rejects: `ok` is false if the request failed. */
export function callApi(address: string, { method, path, body }: ApiRequest): Promise<ApiResult> {
  const client = new HttpClient({
    sockets: new SocketBudget(Infinity),
    maxConnectionsPerHost: 1,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    maxBodyBytes: MAX_RESPONSE_BYTES,
  });
  const bytes = body === undefined ? null : encodeBody(body);
  return new Promise((resolve) => {
    client.request(address, method, path, bytes, TIMEOUT_MS, (response) => {
      if (response === null) {
        resolve({
          ok: false,
          text: `no response from ${address}: check that a controller is running there`,
        });
        return;
      }
      try {
        const value = response.body.length > 0 ? decodeBody(response.body) : null;
        resolve(toApiResult(address, response.status, value, response.headers.get('retry-after')));
      } catch {
        resolve({
          ok: false,
          text: `malformed response from ${address}: expected CBOR; is another service listening there?`,
        });
      }
    });
  });
}

function toApiResult(
  address: string,
  status: number,
  body: unknown,
  retryAfter: string | undefined,
): ApiResult {
  if (status === 200 || status === 201) return { ok: true, text: JSON.stringify(body, null, 2) };
  const reason =
    isMap(body) && typeof body['error'] === 'string' ? body['error'] : 'no reason given';
  const retryHint = retryAfter === undefined ? '' : `; try again in ${retryAfter} s`;
  return { ok: false, text: `${address} answered ${status}: ${reason}${retryHint}` };
}
