/** One controller: its slices put together, and the way of requests to them. */
import { EventLoop } from './runtime/event-loop.js';
import type { Runtime, Logger } from './runtime/runtime.js';
import { MachineTypeCatalogue } from './fleet/machine-type-catalogue.js';
import type { Respond } from './jobs/api-response.js';
import type { FrontendHooks } from './jobs/frontend-context.js';
import { Frontend } from './jobs/frontend.js';
import { ProgressCache } from './jobs/job-progress.js';
import { LearnedStatistics } from './leader/learned-statistics.js';
import { LeaderTerm } from './leader/leader-term.js';
import { Leadership, type LeadershipEvents } from './leadership/leadership.js';
import {
  answerLeaseGrantRequest,
  requestLeaseGrantsOver,
} from './leadership/lease-grant-exchange.js';
import { LEASE_GRANT_PATH } from './leadership/lease-grant-request.js';
import { setLeaderGauges, setNodeGauges, type MetricsSink } from './operators/gauges.js';
import { Readiness } from './operators/readiness.js';
import { clusterView } from './operators/cluster-view.js';
import type { PeerStatus } from './peers/message.js';
import { Peers, peersOptions, type PeerEvents } from './peers/peers.js';
import { Router } from './api/router.js';
import type { Settings } from './settings/settings.js';
import { StateStoreClient } from './store/client.js';
import { DecayingRate } from './runtime/decaying-rate.js';
import { encodeBody } from './wire/cbor.js';
import type { JobStatus } from './wire/jobs.js';
import { readHeartbeat } from './wire/workers.js';

export type { MetricsSink } from './operators/gauges.js';

const EMPTY_BODY = Buffer.alloc(0);
const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4';
const RETRY_LEADER_S = 1;
const RETRY_METRICS_S = 5;
/** Ticks in a heartbeat interval. */
const TICKS_PER_HEARTBEAT = 3;

/** One of a deployment's equal controllers, of which one leads. */
export class Controller {
  readonly eventLoop: EventLoop;
  /** Loaded a little after the start, which is to be short. */
  metrics: MetricsSink | null = null;
  private readonly client: StateStoreClient;
  private readonly leadership: Leadership;
  private readonly peers: Peers;
  private readonly frontend: Frontend;
  private readonly routes: Router;
  private readonly readiness: Readiness;
  private readonly catalogue: MachineTypeCatalogue;
  private readonly learned: LearnedStatistics;
  private readonly progress = new ProgressCache();
  /** Reports of workers that this node has sent on to the leader. */
  private readonly redirectedHeartbeats: DecayingRate;
  /** This node's term as leader, from its election until it learns of the end. */
  private leaderTerm: LeaderTerm | null = null;

  constructor(
    runtime: Runtime,
    log: Logger,
    private readonly settings: Settings,
    identity: string,
  ) {
    const eventLoop = new EventLoop(runtime, log);
    this.eventLoop = eventLoop;
    this.redirectedHeartbeats = new DecayingRate(() => runtime.now(), settings.heartbeatIntervalMs);
    this.learned = new LearnedStatistics(eventLoop, settings);
    this.client = new StateStoreClient(eventLoop, settings);
    this.catalogue = new MachineTypeCatalogue(eventLoop, settings, this.client, () =>
      this.leaderTerm?.recovered === true ? this.leaderTerm : null,
    );
    const ask = requestLeaseGrantsOver(() => this.peers);
    const events = this.leadershipEvents();
    this.leadership = new Leadership(eventLoop, settings, this.client, identity, events, ask);
    this.peers = new Peers(
      eventLoop,
      peersOptions(settings),
      () => this.status(identity),
      this.peerEvents(),
    );
    this.frontend = new Frontend(eventLoop, settings, this.client, this.frontendHooks());
    this.readiness = new Readiness(
      settings,
      this.client.health,
      this.peers,
      () => this.catalogue.types !== null,
    );
    this.routes = this.createRoutes();
  }

  // ---- composition

  private leadershipEvents(): LeadershipEvents {
    return {
      elected: (term) => this.elected(term),
      leaseRecovered: () => this.leaderTerm?.jobWatch.requireFreshRead(),
      deposed: () => this.deposed(),
      shouldExtendLease: () =>
        this.leaderTerm?.recovered === true && this.leaderTerm.jobWatch.isFresh,
    };
  }

  private peerEvents(): PeerEvents {
    return {
      jobAccepted: (id) => this.frontend.markAccepted(id),
      statusReceived: (status) =>
        this.leadership.peerReportedLeader(status.leaderHost, status.term),
      jobEnded: (id, state) => {
        this.frontend.markTerminal(id, state);
        this.progress.delete(id);
        // A cancellation made on another node, sooner than the watch tells.
        if (state === 'cancelled') this.leaderTerm?.table.markCancelled(id);
      },
      requestForwarded: (method, path, body, done) => {
        if (path === LEASE_GRANT_PATH)
          return done(answerLeaseGrantRequest(this.leadership, body), EMPTY_BODY);
        this.routes.handle(method, path, body, (answer) =>
          done(answer.status, answer.body === undefined ? EMPTY_BODY : encodeBody(answer.body)),
        );
      },
      jobProgressed: (progress) => this.progress.set(progress),
    };
  }

  private frontendHooks(): FrontendHooks {
    return {
      machineTypes: () => this.catalogue.types,
      progress: (id) => this.jobProgress(id),
      onAccepted: (id) => this.peers.announceJobAccepted(id),
      onCancelled: (id) => {
        this.peers.announceJobEnd(id, 'cancelled');
        this.progress.delete(id);
        this.leaderTerm?.table.markCancelled(id);
      },
    };
  }

  private createRoutes(): Router {
    const { eventLoop, settings, client, peers, leadership, frontend } = this;
    return new Router(eventLoop, settings, client, peers, leadership, frontend, {
      leads: () => this.leads,
      ready: () => this.readiness.ready,
      heartbeat: (body, respond) => this.handleHeartbeat(body, respond),
      cluster: (after, respond) => this.cluster(after, respond),
      scrape: (respond) => this.scrape(respond),
      requestAnswered: (route, status, tookMs) =>
        this.metrics?.observeRequest(route, status, tookMs),
    });
  }

  /** What this node tells the others of itself. */
  private status(identity: string): PeerStatus {
    const { client, leadership } = this;
    return {
      host: this.settings.platform.host,
      identity,
      stateOkAgeMs: Number.isFinite(client.health.sinceSuccessMs)
        ? client.health.sinceSuccessMs
        : -1,
      leaderHost: leadership.leader?.host ?? '',
      term: leadership.leader?.term ?? 0,
      wantedWrites: client.budget.writeDemand.writesPerSecond,
      strayReports: this.redirectedHeartbeats.perSecond,
    };
  }

  private jobProgress(id: string): JobStatus | null {
    const job = this.leaderTerm?.table.jobs.get(id);
    return job === undefined ? this.progress.answer(id) : job.answer();
  }

  /** Begins to follow the others, or to lead. */
  start(): void {
    this.eventLoop.post('start', () => {
      this.leadership.start();
      this.catalogue.load();
      this.peers.start();
      this.eventLoop.every(this.tickMs, 'tick', () => this.tick());
      this.eventLoop.onBatchEnd(() => this.leaderTerm?.onBatchEnd());
    });
  }

  private get tickMs(): number {
    return this.settings.heartbeatIntervalMs / TICKS_PER_HEARTBEAT;
  }

  private tick(): void {
    const heard = this.peers.recentStatuses(this.settings.heartbeatIntervalMs);
    this.client.budget.updateWriteShare(
      heard.map((peer) => ({
        isLeader: peer.leaderHost === peer.host,
        writesPerSecond: peer.wantedWrites,
      })),
    );
    this.catalogue.refreshIfDue();
    this.leaderTerm?.tick(heard, this.tickMs);
  }

  // ---- leading

  /** Has been elected and not learned of its end. */
  get leads(): boolean {
    return this.leaderTerm !== null;
  }

  /**
   * Whether this node may order, place and rent: its lease as leader runs, and no
   * cancellation confirmed longer ago than the settings allow is unknown to it.
   */
  private get mayActAsLeader(): boolean {
    const { leaderTerm } = this;
    return (
      this.leadership.holdsLease && leaderTerm?.recovered === true && leaderTerm.jobWatch.isFresh
    );
  }

  /** Whether this node may answer workers, which may go on beyond its lease. */
  get mayAnswerWorkers(): boolean {
    const { leaderTerm } = this;
    return (
      this.leadership.mayAnswerWorkers &&
      leaderTerm?.recovered === true &&
      leaderTerm.jobWatch.isFresh
    );
  }

  private elected(term: number): void {
    const { eventLoop, settings, client, leadership, peers, frontend } = this;
    const { progress, catalogue, learned } = this;
    const leaderTerm = new LeaderTerm(term, {
      ...{ eventLoop, settings, client, leadership, peers, frontend, progress, catalogue, learned },
      mayActAsLeader: () => this.mayActAsLeader,
      mayAnswerWorkers: () => this.mayAnswerWorkers,
      recovered: () => this.leaderTerm?.recovered === true,
      requestPlacement: () => this.leaderTerm?.passScheduler.request(),
      passFinished: (tookMs) => this.metrics?.observePlacementPass(tookMs),
    });
    this.leaderTerm = leaderTerm;
    leaderTerm.start();
  }

  private deposed(): void {
    this.leaderTerm?.close();
    this.leaderTerm = null;
  }

  // ---- requests

  /** Bytes of a frame from another controller. */
  peerFrame(bytes: Buffer): void {
    this.eventLoop.post('peer', () => this.peers.receive(bytes));
  }

  /** A connection from another controller was dropped for what came on it. */
  peerConnectionFailed(err: Error): void {
    this.eventLoop.post('peer', () => this.peers.dropUnreadable(err));
  }

  /** A request to the API. */
  request(method: string, path: string, body: Buffer, respond: Respond): void {
    this.routes.request(method, path, body, respond);
  }

  private cluster(after: string, respond: Respond): void {
    const { leaderTerm, settings } = this;
    const { types } = this.catalogue;
    if (leaderTerm === null || !leaderTerm.recovered || types === null) {
      const body = { error: 'no leader just now' };
      return respond({ status: 503, body, retryAfterS: RETRY_LEADER_S });
    }
    const { term, table, workers, placement, fleet } = leaderTerm;
    const common = { settings, term, table, workers, placement, fleet, types, after };
    respond({
      status: 200,
      body: clusterView({ ...common, holdsLease: this.mayActAsLeader, now: this.eventLoop.now() }),
    });
  }

  private scrape(respond: Respond): void {
    const { metrics, leaderTerm } = this;
    if (metrics === null) {
      const body = { error: 'starting' };
      return respond({ status: 503, body, retryAfterS: RETRY_METRICS_S });
    }
    metrics.setUnreadableMessages(this.peers.unreadableMessages);
    setNodeGauges(metrics, this.mayActAsLeader, this.leadership.leader?.term ?? 0);
    if (leaderTerm !== null) setLeaderGauges(metrics, leaderTerm);
    void metrics.render().then((text) =>
      respond({
        status: 200,
        encodedBody: { bytes: Buffer.from(text), contentType: METRICS_CONTENT_TYPE },
      }),
    );
  }

  private handleHeartbeat(body: unknown, respond: Respond): void {
    const report = readHeartbeat(body);
    const { leaderTerm } = this;
    if (leaderTerm === null) return this.redirectToLeader(respond);
    // Elected but not entitled yet, or not any more: the worker tries on.
    if (!this.mayAnswerWorkers || this.catalogue.types === null)
      return respond({ status: 503, body: {} });
    const answer = leaderTerm.workers.handleHeartbeat(report);
    if (this.leaderTerm !== leaderTerm) return respond({ status: 503, body: {} });
    respond(answer.status === 200 ? answer : { status: 503, body: {} });
  }

  /** Tells a worker where the leader is, if another node is known to lead. */
  private redirectToLeader(respond: Respond): void {
    this.redirectedHeartbeats.count(1);
    const { leader } = this.leadership;
    const elsewhere = leader !== null && leader.host !== this.settings.platform.host;
    respond({ status: 421, body: elsewhere ? { foreman: leader.host } : {} });
  }
}
