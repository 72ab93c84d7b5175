/** The operators' command line as a client of the API. */
import { HttpClient } from '../http/client.js';
import { SocketBudget } from '../http/socket-budget.js';
import { decodeBody, encodeBody, isMap } from '../wire/cbor.js';

const TIMEOUT_MS = 5000;

/** A response of a controller. */
export interface ApiResult {
  ok: boolean;
  text: string;
}

function describe(
  api: string,
  status: number,
  body: unknown,
  retryAfter: string | undefined,
): ApiResult {
  const pretty = JSON.stringify(body, null, 2);
  if (status === 200 || status === 201) return { ok: true, text: pretty };
  const said = isMap(body) && typeof body['error'] === 'string' ? body['error'] : 'no reason given';
  const again = retryAfter === undefined ? '' : `; try again in ${retryAfter} s`;
  return { ok: false, text: `${api} answered ${status}: ${said}${again}` };
}

/** One request of an operator to a running service. */
export function callApi(
  api: string,
  method: 'GET' | 'POST',
  path: string,
  body: unknown,
): Promise<ApiResult> {
  const client = new HttpClient({
    sockets: new SocketBudget(Infinity),
    maxConnectionsPerHost: 1,
    idleTimeoutMs: 10,
    maxBodyBytes: 1024 * 1024,
  });
  const bytes = body === undefined ? null : encodeBody(body);
  return new Promise((resolve) => {
    client.request(api, method, path, bytes, TIMEOUT_MS, (m) => {
      if (m === null) {
        resolve({ ok: false, text: `no answer from ${api}: is a controller running there?` });
        return;
      }
      try {
        const value = m.body.length > 0 ? decodeBody(m.body) : null;
        resolve(describe(api, m.status, value, m.headers.get('retry-after')));
      } catch {
        resolve({ ok: false, text: `${api} gave an answer that is not of this service` });
      }
    });
  });
}
