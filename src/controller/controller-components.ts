/** The components of a controller and their connections. */
import { MachineTypeCatalogue } from './fleet/machine-type-catalogue.js';
import { Frontend } from './jobs/frontend.js';
import type { FrontendHooks } from './jobs/frontend-context.js';
import { ProgressCache } from './jobs/job-progress.js';
import type { LeaderEnvironment } from './leader/leader-context.js';
import { LeaderRole } from './leader/leader-role.js';
import { LearnedStatistics } from './leader/learned-statistics.js';
import { Leadership } from './leadership/leadership.js';
import { requestLeaseGrantsOver } from './leadership/lease-grant-exchange.js';
import type { ApiContext } from './api/api-context.js';
import type { MetricsSink } from './operators/gauges.js';
import { Readiness } from './operators/readiness.js';
import type { PeerStatus } from './peers/message.js';
import { Peers, peersOptions, type PeerEvents } from './peers/peers.js';
import { DecayingRate } from './runtime/decaying-rate.js';
import type { EventLoop } from './runtime/event-loop.js';
import type { Settings } from './settings/settings.js';
import { StateStoreClient } from './store/client.js';
import type { JobStatus, TerminalState } from './wire/jobs.js';

/** Value of `stateOkAgeMs` in a status if the state store has never served the sender. */
const NEVER_SERVED = -1;

/** Handles a request that a peer has forwarded. */
export type AnswerForwarded = PeerEvents['requestForwarded'];

/** The components of a controller that exist independently of its terms as leader. */
export class ControllerComponents implements LeaderEnvironment, ApiContext {
  /**
   * Sink for this node's metrics. It is null at first and set after the start, because loading it
   * takes time.
   */
  metrics: MetricsSink | null = null;
  readonly redirectedHeartbeats: DecayingRate;
  readonly learned: LearnedStatistics;
  readonly client: StateStoreClient;
  readonly catalogue: MachineTypeCatalogue;
  readonly role: LeaderRole;
  readonly leadership: Leadership;
  readonly peers: Peers;
  readonly frontend: Frontend;
  readonly progress = new ProgressCache();
  readonly readiness: Readiness;

  /** @param identity - distinguishes this process from other processes on the same host */
  constructor(
    readonly eventLoop: EventLoop,
    readonly settings: Settings,
    private readonly identity: string,
    answerForwarded: AnswerForwarded,
  ) {
    this.redirectedHeartbeats = new DecayingRate(
      () => eventLoop.now(),
      settings.heartbeatIntervalMs,
    );
    this.learned = new LearnedStatistics(eventLoop, settings);
    this.client = new StateStoreClient(eventLoop, settings);
    this.role = new LeaderRole(this);
    this.catalogue = new MachineTypeCatalogue(
      eventLoop,
      settings,
      this.client,
      () => this.role.recoveredTerm,
    );
    this.leadership = new Leadership(
      eventLoop,
      settings,
      this.client,
      identity,
      this.role,
      requestLeaseGrantsOver(() => this.peers),
    );
    this.peers = this.createPeers(answerForwarded);
    this.frontend = new Frontend(eventLoop, settings, this.client, this.frontendHooks());
    this.readiness = new Readiness(
      settings,
      this.client.health,
      this.peers,
      () => this.catalogue.types !== null,
    );
  }

  private createPeers(answerForwarded: AnswerForwarded): Peers {
    const { eventLoop, settings } = this;
    return new Peers(eventLoop, peersOptions(settings), () => this.ownStatus(), {
      jobAccepted: (id) => this.frontend.markAccepted(id),
      statusReceived: ({ leaderHost, term }) =>
        this.leadership.peerReportedLeader(leaderHost, term),
      jobEnded: (id, state) => this.jobEnded(id, state),
      requestForwarded: answerForwarded,
      jobProgressed: (progress) => this.progress.set(progress),
    });
  }

  private frontendHooks(): FrontendHooks {
    return {
      machineTypes: () => this.catalogue.types,
      progress: (id) => this.jobStatus(id),
      onAccepted: (id) => this.peers.announceJobAccepted(id),
      onCancelled: (id) => {
        this.peers.announceJobEnd(id, 'cancelled');
        this.progress.delete(id);
        this.role.currentTerm?.components.table.markCancelled(id);
      },
    };
  }

  /** Handles a job's terminal state that a peer has announced. */
  private jobEnded(id: string, state: TerminalState): void {
    this.frontend.markTerminal(id, state);
    this.progress.delete(id);
    // The announcement usually arrives before the leader's own watch reports the cancellation.
    if (state === 'cancelled') this.role.currentTerm?.components.table.markCancelled(id);
  }

  private jobStatus(id: string): JobStatus | null {
    const job = this.role.currentTerm?.components.table.jobs.get(id);
    return job === undefined ? this.progress.status(id) : job.status();
  }

  /** Returns this node's status, as it is sent to the peers. */
  private ownStatus(): PeerStatus {
    const { client, leadership } = this;
    const { sinceSuccessMs } = client.health;
    return {
      host: this.settings.platform.host,
      identity: this.identity,
      stateOkAgeMs: Number.isFinite(sinceSuccessMs) ? sinceSuccessMs : NEVER_SERVED,
      leaderHost: leadership.leader?.host ?? '',
      term: leadership.leader?.term ?? 0,
      wantedWrites: client.budget.writeDemand.writesPerSecond,
      strayReports: this.redirectedHeartbeats.perSecond,
    };
  }
}
