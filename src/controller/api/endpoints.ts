/** The paths of the API, and the endpoints that answer them on this node. */
import type { ApiResponse, Respond } from '../jobs/api-response.js';
import { decodeBody } from '../wire/cbor.js';
import { WireError } from '../wire/fields.js';
import type { ApiContext } from './api-context.js';
import { ClusterEndpoint } from './cluster-endpoint.js';
import { HEARTBEAT_PATH, HeartbeatEndpoint } from './heartbeat-endpoint.js';
import { MetricsEndpoint } from './metrics-endpoint.js';

/** Matches the paths of a job's status and of its cancellation. */
const JOB_PATH = /^\/submissions\/([^/]+)(\/abort)?$/;

/** Answers the requests to one path. Requests with another method than `method` are refused. */
export interface Endpoint {
  method: 'GET' | 'POST';
  /** Answers a request; `query` holds the parameters of its query string. */
  serve: (body: Buffer, respond: Respond, query: URLSearchParams) => void;
}

function decodeRequestBody(body: Buffer): unknown {
  try {
    return decodeBody(body);
  } catch (err) {
    throw new WireError('body: not CBOR', { cause: err });
  }
}

/** Finds the endpoint of a path. */
export class Endpoints {
  /** The endpoints whose paths have no parameters. */
  private readonly byPath: ReadonlyMap<string, Endpoint>;

  constructor(private readonly context: ApiContext) {
    this.byPath = this.createEndpoints();
  }

  /** Returns the endpoint of a path, or null if the API has no such path. */
  find(path: string): Endpoint | null {
    return this.byPath.get(path) ?? this.findJobEndpoint(path);
  }

  private findJobEndpoint(path: string): Endpoint | null {
    const match = JOB_PATH.exec(path);
    if (match === null) return null;
    const [, id = '', abort] = match;
    const { frontend } = this.context;
    if (abort !== undefined)
      return { method: 'POST', serve: (_body, respond) => frontend.cancel(id, respond) };
    return { method: 'GET', serve: (_body, respond) => frontend.poll(id, respond) };
  }

  private createEndpoints(): Map<string, Endpoint> {
    const { frontend } = this.context;
    const heartbeat = new HeartbeatEndpoint(this.context);
    const cluster = new ClusterEndpoint(this.context);
    const metrics = new MetricsEndpoint(this.context);
    return new Map<string, Endpoint>([
      [
        HEARTBEAT_PATH,
        {
          method: 'POST',
          serve: (body, respond) => heartbeat.handle(decodeRequestBody(body), respond),
        },
      ],
      ['/ready', { method: 'GET', serve: (_body, respond) => respond(this.readiness()) }],
      [
        '/cluster',
        {
          method: 'GET',
          serve: (_body, respond, query) => cluster.handle(query.get('after') ?? '', respond),
        },
      ],
      ['/metrics', { method: 'GET', serve: (_body, respond) => metrics.handle(respond) }],
      [
        '/submissions',
        {
          method: 'POST',
          serve: (body, respond) => frontend.submit(decodeRequestBody(body), respond),
        },
      ],
    ]);
  }

  private readiness(): ApiResponse {
    const { ready } = this.context.readiness;
    return { status: ready ? 200 : 503, body: { ready } };
  }
}
