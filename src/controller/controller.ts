/** One controller: its start, its ticks and what arrives from outside. */
import { encodeResponseBody } from './api/response-body.js';
import { Router } from './api/router.js';
import { ControllerComponents } from './controller-components.js';
import type { Respond } from './jobs/api-response.js';
import { answerLeaseGrantRequest } from './leadership/lease-grant-exchange.js';
import { LEASE_GRANT_PATH } from './leadership/lease-grant-request.js';
import type { MetricsSink } from './operators/gauges.js';
import { EventLoop } from './runtime/event-loop.js';
import type { Logger, Runtime } from './runtime/runtime.js';
import type { Settings } from './settings/settings.js';

/** Ticks in a heartbeat interval. */
const TICKS_PER_HEARTBEAT = 3;

/** One of a deployment's equal controllers, of which one leads. */
export class Controller {
  private readonly eventLoop: EventLoop;
  private readonly components: ControllerComponents;
  private readonly router: Router;

  /** `identity`: tells apart the processes of one host. */
  constructor(
    runtime: Runtime,
    log: Logger,
    private readonly settings: Settings,
    identity: string,
  ) {
    this.eventLoop = new EventLoop(runtime, log);
    this.components = new ControllerComponents(
      this.eventLoop,
      settings,
      identity,
      (method, path, body, done) => this.answerForwarded(method, path, body, done),
    );
    this.router = new Router(this.components);
  }

  /** Where this node's metrics go; set a little after the start, which is to be short. */
  set metrics(metrics: MetricsSink) {
    this.components.metrics = metrics;
  }

  /** This node has been elected, and has not learned that its term is over. */
  get leads(): boolean {
    return this.components.role.currentTerm !== null;
  }

  /** This node may answer workers, which may go on beyond its lease as leader. */
  get mayAnswerWorkers(): boolean {
    return this.components.role.mayAnswerWorkers;
  }

  /** Begins to follow the leader, or to lead. */
  start(): void {
    const { leadership, catalogue, peers, role } = this.components;
    this.eventLoop.post('start', () => {
      leadership.start();
      catalogue.load();
      peers.start();
      this.eventLoop.every(this.tickMs, 'tick', () => this.tick());
      this.eventLoop.onBatchEnd(() => role.currentTerm?.onBatchEnd());
    });
  }

  private get tickMs(): number {
    return this.settings.heartbeatIntervalMs / TICKS_PER_HEARTBEAT;
  }

  private tick(): void {
    const { peers, client, catalogue, role } = this.components;
    const peerStatuses = peers.recentStatuses(this.settings.heartbeatIntervalMs);
    client.budget.updateWriteShare(
      peerStatuses.map(({ host, leaderHost, wantedWrites }) => ({
        isLeader: leaderHost === host,
        writesPerSecond: wantedWrites,
      })),
    );
    catalogue.refreshIfDue();
    role.currentTerm?.tick(peerStatuses, this.tickMs);
  }

  // ---- what arrives from outside

  /** A request to the API; it is answered once. */
  request(method: string, path: string, body: Buffer, respond: Respond): void {
    this.router.request({ method, target: path, body }, respond);
  }

  /** A complete frame from another controller. */
  peerFrame(bytes: Buffer): void {
    this.eventLoop.post('peer', () => this.components.peers.receive(bytes));
  }

  /** A connection from another controller was dropped since what arrived can't be read. */
  peerConnectionFailed(err: Error): void {
    this.eventLoop.post('peer', () => this.components.peers.dropUnreadable(err));
  }

  /** Answers a request that a peer has forwarded: of a leader for a lease grant, or of a user. */
  private answerForwarded(
    method: string,
    path: string,
    body: Buffer,
    done: (status: number, body: Buffer) => void,
  ): void {
    if (path === LEASE_GRANT_PATH) {
      const status = answerLeaseGrantRequest(this.components.leadership, body);
      return done(status, encodeResponseBody(undefined));
    }
    this.router.handle({ method, target: path, body }, (response) =>
      done(response.status, encodeResponseBody(response.body)),
    );
  }
}
