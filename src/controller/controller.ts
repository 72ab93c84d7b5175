/** A controller: starts its components, and passes them timer ticks, requests and peer messages. */
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

/** Number of ticks per heartbeat interval. */
const TICKS_PER_HEARTBEAT = 3;

/** One of a deployment's controllers. All run the same code, and at most one acts as leader. */
export class Controller {
  private readonly eventLoop: EventLoop;
  private readonly components: ControllerComponents;
  private readonly router: Router;

  /** @param identity - distinguishes this process from other processes on the same host */
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

  /** Sink for this node's metrics. It is set after the start, because loading it takes time. */
  set metrics(metrics: MetricsSink) {
    this.components.metrics = metrics;
  }

  /** True if this node has been elected as leader and does not know that its term has ended. */
  get leads(): boolean {
    return this.components.role.currentTerm !== null;
  }

  /**
   * True if this node may answer workers. Beyond its lease as leader it may do so only while every
   * other controller has promised not to act as leader (invariant 1).
   */
  get mayAnswerWorkers(): boolean {
    return this.components.role.mayAnswerWorkers;
  }

  /** Starts leader election, the exchange with peers and the regular ticks. */
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

  // ---- requests and peer messages

  /** Handles a request to the API. `respond` is called once. */
  request(method: string, path: string, body: Buffer, respond: Respond): void {
    this.router.request({ method, target: path, body }, respond);
  }

  /** Handles a complete frame received from another controller. */
  peerFrame(bytes: Buffer): void {
    this.eventLoop.post('peer', () => this.components.peers.receive(bytes));
  }

  /** Handles a connection from another controller that was closed because of malformed data. */
  peerConnectionFailed(err: Error): void {
    this.eventLoop.post('peer', () => this.components.peers.dropUnreadable(err));
  }

  /** Answers a request from a peer: a leader's request for a lease grant, or a user's request. */
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
