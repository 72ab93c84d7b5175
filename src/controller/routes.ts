import type { Core } from './core/core.js';
import type { Answer, Frontend } from './jobs/frontend.js';
import type { Leadership } from './leadership/leadership.js';
import type { ForwardedReply } from './peers/message.js';
import type { Peers } from './peers/peers.js';
import type { Settings } from './settings/settings.js';
import type { StateClient } from './store/client.js';
import { decodeBody, WireError } from './wire/cbor.js';

export const REPORT_PATH = '/v1/report';

type Respond = (a: Answer) => void;

/** What the routes need beside users' jobs. */
export interface RouteSource {
  leads(): boolean;
  ready(): boolean;
  report(body: unknown, respond: Respond): void;
  cluster(respond: Respond): void;
  scrape(respond: Respond): void;
  /** A request has been answered. */
  counted(route: string, status: number, tookMs: number): void;
}

function fromPeer(r: ForwardedReply): Answer {
  try {
    return { status: r.status, ...(r.body.length > 0 ? { body: decodeBody(r.body) } : {}) };
  } catch {
    return { status: 503, body: { error: 'broken answer of a peer' } };
  }
}

/** The API's paths, and which node answers. */
export class Routes {
  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    private readonly client: StateClient,
    private readonly peers: Peers,
    private readonly leadership: Leadership,
    private readonly frontend: Frontend,
    private readonly source: RouteSource,
  ) {}

  request(method: string, path: string, body: Buffer, respond: (a: Answer) => void): void {
    this.core.post('request', () => {
      const from = this.core.now();
      const route = path.split('/', 2)[1]?.split('?', 1)[0] ?? '';
      const answer = (a: Answer): void => {
        const known = a.status !== 404 || route === 'submissions' ? route : 'other';
        this.source.counted(known, a.status, this.core.now() - from);
        respond(a);
      };
      if (route === 'submissions') this.withHelp(method, path, body, answer);
      else if (route === 'cluster' && !this.source.leads())
        this.askLeader(method, path, body, answer);
      else this.handle(method, path, body, answer);
    });
  }

  /**
   * Answers a user, with a peer's help where the state service serves the peer and not this node.
   * The peer is asked when this node has failed, or is late, so that a cut costs the user little.
   */
  private withHelp(method: string, path: string, body: Buffer, respond: (a: Answer) => void): void {
    let answered = false;
    let own: Answer | null = null;
    let helping = false;
    const answer = (a: Answer): void => {
      if (answered) return;
      answered = true;
      late.cancel();
      respond(a);
    };
    const help = (): boolean => {
      if (answered || helping) return helping;
      const slow = this.settings.reportMs / 25;
      if (this.client.failingFor === 0 && this.client.stalledMs < slow) return false;
      const host = this.peers.served(this.settings.reportMs / 2);
      if (host === null) return false;
      helping = true;
      this.peers.forward(host, method, path, body, this.settings.reportMs / 6, (r) => {
        helping = false;
        if (r !== null && r.status !== 503) answer(fromPeer(r));
        else if (own !== null) answer(own);
      });
      return true;
    };
    const late = this.core.after(this.settings.reportMs / 25, 'late', () => void help());
    this.handle(method, path, body, (a) => {
      if (a.status !== 503) return answer(a);
      own = a;
      // Out of tokens is not a reason: the peers' are for their own users.
      if (helping || (this.client.failingFor > 0 && help())) return;
      answer(a);
    });
  }

  private askLeader(
    method: string,
    path: string,
    body: Buffer,
    respond: (a: Answer) => void,
  ): void {
    const leader = this.leadership.leader?.host;
    if (leader === undefined || leader === this.settings.platform.host)
      return this.handle(method, path, body, respond);
    this.peers.forward(leader, method, path, body, this.settings.reportMs / 2, (r) =>
      respond(
        r === null ? { status: 503, body: { error: 'the leader does not answer' } } : fromPeer(r),
      ),
    );
  }

  /** Answers here, whoever asks. */
  handle(method: string, path: string, body: Buffer, respond: (a: Answer) => void): void {
    try {
      this.route(method, path, body, respond);
    } catch (err) {
      if (err instanceof WireError) respond({ status: 400, body: { error: err.message } });
      else {
        this.core.log.error({ path, err }, 'request failed');
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

  private route(method: string, target: string, body: Buffer, respond: (a: Answer) => void): void {
    const path = target.split('?', 1)[0] ?? '';
    const wrong = (allow: string): void =>
      respond({ status: 405, body: { error: 'method not allowed' }, allow });
    if (path === REPORT_PATH) {
      if (method !== 'POST') return wrong('POST');
      return this.source.report(this.decode(body), respond);
    }
    if (path === '/ready') {
      if (method !== 'GET') return wrong('GET');
      return respond(
        this.source.ready()
          ? { status: 200, body: { ready: true } }
          : { status: 503, body: { ready: false } },
      );
    }
    if (path === '/cluster') {
      if (method !== 'GET') return wrong('GET');
      return this.source.cluster(respond);
    }
    if (path === '/metrics') {
      if (method !== 'GET') return wrong('GET');
      return this.source.scrape(respond);
    }
    if (path === '/submissions') {
      if (method !== 'POST') return wrong('POST');
      return this.frontend.submit(this.decode(body), respond);
    }
    const job = /^\/submissions\/([^/]+)(\/abort)?$/.exec(path);
    if (job !== null) {
      const id = job[1] ?? '';
      if (job[2] !== undefined)
        return method === 'POST' ? this.frontend.cancel(id, respond) : wrong('POST');
      return method === 'GET' ? this.frontend.poll(id, respond) : wrong('GET');
    }
    respond({ status: 404, body: { error: 'no such path' } });
  }
}
