/** Leader election among the controllers, and what this node may do while it is the leader. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { Election, type ElectionResult, type WonElection } from './election.js';
import { LeaderLease } from './leader-lease.js';
import type { LeaderInfo } from './leader-record.js';
import { LeaderWatch } from './leader-watch.js';
import type { RequestLeaseGrant } from './lease-extension.js';
import type { LeaseGrantor } from './lease-grant-exchange.js';
import { LeaseGrant } from './lease-grant.js';

/** Name in the log of the timer that begins the term. */
const BEGIN_TERM_EVENT = 'begin-term';

/** Why a leader steps down in favour of another node, as logged. */
export type HandOverReason = 'no view of the jobs' | 'workers do not reach this node';

/** Why a leader steps down, as logged. */
export type StepDownReason =
  | HandOverReason
  /** A write was rejected because the version of the leader key has changed. */
  | 'another leader'
  /** The term has no attempt numbers left for starting tasks. */
  | 'attempt numbers used up'
  /** A message from another node carried a higher term. */
  | 'higher term'
  /** The lease no longer exists at the state store. */
  | 'lease ended';

/** Callbacks of `Leadership` about this node's own terms. */
export interface LeadershipEvents {
  /** This node has become the leader, and no earlier leader may still answer workers. */
  elected(term: number): void;
  /** The lease was renewed after it had run out on this node's monotonic clock; the term continues. */
  leaseRecovered(): void;
  /** This node is no longer the leader. */
  deposed(): void;
  /** Whether it is useful to extend the right to answer workers beyond the lease. */
  shouldExtendLease(): boolean;
}

/**
 * Tracks the current leader, and tries to become the leader when there is none. The leader holds a key
 * that is bound to a lease of the state store. The version of this key at its creation is the leader's
 * term, and part of the fencing tokens that workers check. Versions increase with every change at the
 * state store, so a later leader always has a higher term. Only one leader acts at a time: it acts only
 * while it holds its lease, and beyond its lease it may at most answer workers (design.md, invariant 1).
 */
export class Leadership implements LeaseGrantor {
  private knownLeader: LeaderInfo | null = null;
  /** This node's lease while it is the leader, otherwise null. */
  private lease: LeaderLease | null = null;
  /** The highest term that is known to have ended. */
  private highestEndedTerm = 0;
  private readonly watch: LeaderWatch;
  private readonly election: Election;
  private readonly leaseGrant: LeaseGrant;

  /**
   * @param identity - distinguishes this process from earlier processes on the same host
   * @param requestGrant - requests a lease grant from another controller
   */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    identity: string,
    private readonly events: LeadershipEvents,
    private readonly requestGrant: RequestLeaseGrant,
  ) {
    this.leaseGrant = new LeaseGrant(eventLoop, settings);
    this.election = new Election(eventLoop, settings, client, identity);
    this.watch = new LeaderWatch(eventLoop, settings, client, identity, {
      isFollower: () => this.lease === null && !this.election.inProgress,
      leaderChanged: (leader) => {
        this.knownLeader = leader;
      },
      leaderGone: () => this.forgetLeader(),
      electionDue: () => this.election.start((result) => this.electionFinished(result)),
    });
  }

  /** Starts to watch the leader key. This node runs for leader whenever the key does not exist. */
  start(): void {
    this.watch.observe();
  }

  // ---- current leader

  /** The current leader according to this node, null if it knows of none. */
  get leader(): LeaderInfo | null {
    return this.knownLeader;
  }

  /** Whether this node is the leader and holds its lease. */
  get holdsLease(): boolean {
    return this.lease?.isHeld === true;
  }

  /**
   * Whether this node is the leader and may answer workers: it holds its lease, or all other controllers
   * have granted an extension during an outage of the state store. Without the lease a leader may do
   * nothing else (design.md, invariant 1).
   */
  get mayAnswerWorkers(): boolean {
    return this.lease !== null && (this.lease.isHeld || this.lease.isExtended);
  }

  /** The highest term that this node knows of, whether or not it has ended. */
  private get highestTerm(): number {
    return Math.max(this.highestEndedTerm, this.knownLeader?.term ?? 0);
  }

  /** Steps down if the term, received from another node, is higher than this node's own. */
  observeTerm(term: number): void {
    if (this.lease === null || term <= this.lease.term) return;
    this.eventLoop.log.warn({ term: this.lease.term, observedTerm: term }, 'higher term observed');
    this.stepDown('higher term');
  }

  /**
   * Handles a peer's report of the current leader. The report is only a hint, but sufficient to redirect
   * workers to that leader. If the reported term is higher than this node's own, this node steps down: while
   * it gets no responses from the state store, the report may be its only sign of a later leader.
   */
  peerReportedLeader(host: string, term: number): void {
    if (host === '') return;
    this.observeTerm(term);
    if (this.lease === null && term > this.highestTerm) this.knownLeader = { host, term };
  }

  /**
   * Gives a lease grant to a leader that cannot renew its lease: this node will not act as leader for the
   * duration of the grant. Returns false if this node is the leader or knows that the term has ended.
   */
  grantLease(term: number): boolean {
    const hasTermEnded = term <= this.highestEndedTerm || term < (this.knownLeader?.term ?? 0);
    if (this.lease !== null || hasTermEnded) return false;
    this.leaseGrant.grant();
    return true;
  }

  private forgetLeader(): void {
    this.highestEndedTerm = this.highestTerm;
    this.knownLeader = null;
  }

  // ---- end of this node's term

  /** Steps down; any node, including this one, may become the next leader. */
  stepDown(reason: StepDownReason): void {
    const { lease } = this;
    if (lease === null) return;
    this.eventLoop.log.info({ term: lease.term, reason }, 'no longer leader');
    this.lease = null;
    lease.close();
    this.forgetLeader();
    this.client.budget.setRole(false);
    // If the lease were not revoked, a delayed copy of the request that created the leader key could create
    // the key again, under a lease that nobody renews.
    lease.revoke();
    this.events.deposed();
    this.watch.retry();
  }

  /** Steps down and lets other nodes run for leader first, because the reason possibly does not affect them. */
  handOver(reason: HandOverReason): void {
    this.watch.backOff();
    this.stepDown(reason);
  }

  // ---- beginning of this node's term

  private electionFinished(result: ElectionResult): void {
    if (result.kind === 'lost') this.watch.retry();
    else this.electionWon(result);
  }

  private electionWon(election: WonElection): void {
    const { term } = election;
    const lease = this.createLease(election);
    this.lease = lease;
    this.knownLeader = { host: this.settings.platform.host, term };
    this.client.budget.setRole(true);
    this.eventLoop.log.info({ term }, 'elected leader');
    lease.start();
    this.beginTermOnceGrantExpires(lease);
  }

  private createLease(election: WonElection): LeaderLease {
    const { eventLoop, settings, client, requestGrant } = this;
    const events = {
      expired: () => this.stepDown('lease ended'),
      recovered: () => this.events.leaseRecovered(),
      shouldExtend: () => this.events.shouldExtendLease(),
    };
    return new LeaderLease(eventLoop, settings, client, election, events, requestGrant);
  }

  /**
   * Begins the term once this node is no longer bound by its lease grant. Until then the previous leader may
   * answer workers, so this node must neither read the stored state nor act as leader.
   */
  private beginTermOnceGrantExpires(lease: LeaderLease): void {
    if (this.lease !== lease) return;
    const { remainingMs } = this.leaseGrant;
    if (remainingMs === 0) return this.events.elected(lease.term);
    this.eventLoop.after(remainingMs, BEGIN_TERM_EVENT, () =>
      this.beginTermOnceGrantExpires(lease),
    );
  }
}
