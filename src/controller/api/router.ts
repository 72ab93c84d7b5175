/** The paths of the API, and which node answers. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { ApiResponse, Respond } from '../jobs/api-response.js';
import type { Frontend } from '../jobs/frontend.js';
import type { Leadership } from '../leadership/leadership.js';
import type { ForwardedReply } from '../peers/message.js';
import type { Peers } from '../peers/peers.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { decodeBody } from '../wire/cbor.js';
import { WireError } from '../wire/fields.js';

/** Where workers send their reports. */
export const HEARTBEAT_PATH = '/v1/report';

/** Path of a job, or of its cancellation. */
const JOB_PATH = /^\/submissions\/([^/]+)(\/abort)?$/;

/** What answers requests with one method for one path. */
interface Endpoint {
  method: 'GET' | 'POST';
  /** `query`: what the target has after its question mark. */
  serve: (body: Buffer, respond: Respond, query: URLSearchParams) => void;
}

/** What the routes need beside users' jobs. */
export interface RouteHandlers {
  /** This node leads. */
  leads(): boolean;
  /** This node serves users and can reach what it needs. */
  ready(): boolean;
  /** Answers a worker's report. */
  heartbeat(body: unknown, respond: Respond): void;
  /** Answers with the view of the cluster; its list of machines begins after the one named. */
  cluster(after: string, respond: Respond): void;
  /** Answers with the metrics. */
  scrape(respond: Respond): void;
  /** A request has been answered. */
  requestAnswered(route: string, status: number, tookMs: number): void;
}

function answerOfPeer(r: ForwardedReply): ApiResponse {
  try {
    return { status: r.status, ...(r.body.length > 0 ? { body: decodeBody(r.body) } : {}) };
  } catch {
    return { status: 503, body: { error: 'broken answer of a peer' } };
  }
}

/** The API's paths, and which node answers. */
export class Router {
  private readonly endpoints: ReadonlyMap<string, Endpoint>;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    private readonly peers: Peers,
    private readonly leadership: Leadership,
    private readonly frontend: Frontend,
    private readonly handlers: RouteHandlers,
  ) {
    this.endpoints = this.createEndpoints();
  }

  /** Answers a request here, or has the node answer that can. */
  request(method: string, path: string, body: Buffer, respond: Respond): void {
    this.eventLoop.post('request', () => {
      const from = this.eventLoop.now();
      const route = path.split('/', 2)[1]?.split('?', 1)[0] ?? '';
      const answer = (a: ApiResponse): void => {
        const known = a.status !== 404 || route === 'submissions' ? route : 'other';
        this.handlers.requestAnswered(known, a.status, this.eventLoop.now() - from);
        respond(a);
      };
      if (route === 'submissions') this.answerWithPeerHelp(method, path, body, answer);
      else if (route === 'cluster' && !this.handlers.leads())
        this.askLeader(method, path, body, answer);
      else this.handle(method, path, body, answer);
    });
  }

  /**
   * Answers a user, with a peer's help where the state service serves the peer and not this node.
   * The peer is asked when this node has failed, or is late, so that a cut costs the user little.
   */
  private answerWithPeerHelp(method: string, path: string, body: Buffer, respond: Respond): void {
    let answered = false;
    let own: ApiResponse | null = null;
    let helping = false;
    const answer = (a: ApiResponse): void => {
      if (answered) return;
      answered = true;
      late.cancel();
      respond(a);
    };
    const help = (): boolean => {
      if (answered || helping) return helping;
      const slow = this.settings.heartbeatIntervalMs / 25;
      if (this.client.health.consecutiveFailures === 0 && this.client.health.stalledMs < slow)
        return false;
      const host = this.peers.hostServedByStateStore(this.settings.heartbeatIntervalMs / 2);
      if (host === null) return false;
      helping = true;
      this.peers.forward(host, method, path, body, this.settings.heartbeatIntervalMs / 6, (r) => {
        helping = false;
        if (r !== null && r.status !== 503) answer(answerOfPeer(r));
        else if (own !== null) answer(own);
      });
      return true;
    };
    const late = this.eventLoop.after(
      this.settings.heartbeatIntervalMs / 25,
      'late',
      () => void help(),
    );
    this.handle(method, path, body, (a) => {
      if (a.status !== 503) return answer(a);
      own = a;
      // Out of tokens is not a reason: the peers' are for their own users.
      if (helping || (this.client.health.consecutiveFailures > 0 && help())) return;
      answer(a);
    });
  }

  private askLeader(method: string, path: string, body: Buffer, respond: Respond): void {
    const leader = this.leadership.leader?.host;
    if (leader === undefined || leader === this.settings.platform.host)
      return this.handle(method, path, body, respond);
    this.peers.forward(leader, method, path, body, this.settings.heartbeatIntervalMs / 2, (r) =>
      respond(
        r === null
          ? { status: 503, body: { error: 'the leader does not answer' } }
          : answerOfPeer(r),
      ),
    );
  }

  /** Answers here, whoever asks. */
  handle(method: string, path: string, body: Buffer, respond: Respond): void {
    try {
      this.route(method, path, body, respond);
    } catch (err) {
      if (err instanceof WireError) respond({ status: 400, body: { error: err.message } });
      else {
        this.eventLoop.log.error({ path, err }, 'request failed');
        respond({ status: 500, body: { error: 'internal' } });
      }
    }
  }

  private decode(body: Buffer): unknown {
    try {
      return decodeBody(body);
    } catch {
      throw new WireError('body: not CBOR');
    }
  }

  private route(method: string, target: string, body: Buffer, respond: Respond): void {
    const [path = '', query = ''] = target.split('?', 2);
    const endpoint = this.endpoint(path);
    if (endpoint === null) respond({ status: 404, body: { error: 'no such path' } });
    else if (method !== endpoint.method)
      respond({ status: 405, body: { error: 'method not allowed' }, allow: endpoint.method });
    else endpoint.serve(body, respond, new URLSearchParams(query));
  }

  private endpoint(path: string): Endpoint | null {
    const fixed = this.endpoints.get(path);
    if (fixed !== undefined) return fixed;
    const job = JOB_PATH.exec(path);
    if (job === null) return null;
    const id = job[1] ?? '';
    if (job[2] !== undefined)
      return { method: 'POST', serve: (_body, respond) => this.frontend.cancel(id, respond) };
    return { method: 'GET', serve: (_body, respond) => this.frontend.poll(id, respond) };
  }

  /** Paths without parameters. */
  private createEndpoints(): Map<string, Endpoint> {
    const { handlers, frontend } = this;
    const ready = (): ApiResponse =>
      handlers.ready()
        ? { status: 200, body: { ready: true } }
        : { status: 503, body: { ready: false } };
    const report: Endpoint['serve'] = (body, respond) =>
      handlers.heartbeat(this.decode(body), respond);
    const cluster: Endpoint['serve'] = (_body, respond, query) =>
      handlers.cluster(query.get('after') ?? '', respond);
    const submit: Endpoint['serve'] = (body, respond) =>
      frontend.submit(this.decode(body), respond);
    return new Map<string, Endpoint>([
      [HEARTBEAT_PATH, { method: 'POST', serve: report }],
      ['/ready', { method: 'GET', serve: (_body, respond) => respond(ready()) }],
      ['/cluster', { method: 'GET', serve: cluster }],
      ['/metrics', { method: 'GET', serve: (_body, respond) => handlers.scrape(respond) }],
      ['/submissions', { method: 'POST', serve: submit }],
    ]);
  }
}
