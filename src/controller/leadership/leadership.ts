/** The leadership among the controllers: who leads, and what this node may do if it does. */
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

/** Name of the timer's command in the log. */
const BEGIN_TERM_EVENT = 'begin-term';

/** Why a leader gives the lead to a node that may be better placed, as the log says. */
export type HandOverReason = 'no view of the jobs' | 'workers do not reach this node';

/** Why a leader gives the lead up, as the log says. */
export type StepDownReason =
  | HandOverReason
  /** A write was refused: the leader key has another version. */
  | 'another leader'
  /** The term has no number left for a further attempt to run a task. */
  | 'attempts used up'
  /** Another node has shown a higher term. */
  | 'higher term'
  /** The state store no longer has the lease. */
  | 'lease ended';

/** What is told of this node's own terms. */
export interface LeadershipEvents {
  /** This node leads from now on. */
  elected(term: number): void;
  /** The same term goes on after a time in which this node did not hold its lease. */
  leaseRecovered(): void;
  /** This node leads no longer. */
  deposed(): void;
  /** Whether the leader has a use for answering workers beyond its lease. */
  shouldExtendLease(): boolean;
}

/**
 * Follows the leader, and becomes it where nobody leads. The leader holds a key bound to a lease of the
 * state store. The version that the key got when it was created is the leader's term and part of the
 * fencing tokens that workers check. It grows with every change at the store, so a later leader's is
 * always higher (design.md, invariant 1).
 */
export class Leadership implements LeaseGrantor {
  private knownLeader: LeaderInfo | null = null;
  /** This node's lease while it leads. */
  private lease: LeaderLease | null = null;
  /** The latest term that is known to be over. */
  private endedTerm = 0;
  private readonly watch: LeaderWatch;
  private readonly election: Election;
  private readonly leaseGrant: LeaseGrant;

  /**
   * `identity`: tells apart the processes of one host.
   * `requestGrant`: asks another controller for a lease grant.
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

  /** Finds out who leads, and takes the lead if nobody does. */
  start(): void {
    this.watch.observe();
  }

  // ---- who leads

  /** Who leads, as far as this node knows. */
  get leader(): LeaderInfo | null {
    return this.knownLeader;
  }

  /** This node leads and holds its lease. */
  get holdsLease(): boolean {
    return this.lease?.isHeld === true;
  }

  /**
   * This node leads and may answer workers: it holds its lease, or the state store serves nobody and all
   * other controllers are bound by lease grants. Nothing else may be done without the lease.
   */
  get mayAnswerWorkers(): boolean {
    return this.lease !== null && (this.lease.isHeld || this.lease.isExtended);
  }

  /** The latest term known here, over or not. */
  private get latestTerm(): number {
    return Math.max(this.endedTerm, this.knownLeader?.term ?? 0);
  }

  /** Another node has shown a term: if it is higher than this node's, there is a later leader. */
  observeTerm(term: number): void {
    if (this.lease === null || term <= this.lease.term) return;
    this.eventLoop.log.warn({ term: this.lease.term, observedTerm: term }, 'higher term observed');
    this.stepDown('higher term');
  }

  /**
   * A peer says who leads. That proves nothing, but is good enough to redirect workers there; and if
   * it is a later leader than this node, which the state store may not serve just now, this node's
   * term is over.
   */
  peerReportedLeader(host: string, term: number): void {
    if (host === '') return;
    this.observeTerm(term);
    if (this.lease === null && term > this.latestTerm) this.knownLeader = { host, term };
  }

  /**
   * Gives a lease grant to a leader that the state store does not serve: this node does not act as
   * leader for a while. Denied if this node leads, or knows that the term is over.
   */
  grantLease(term: number): boolean {
    const hasTermEnded = term <= this.endedTerm || term < (this.knownLeader?.term ?? 0);
    if (this.lease !== null || hasTermEnded) return false;
    this.leaseGrant.grant();
    return true;
  }

  private forgetLeader(): void {
    this.endedTerm = this.latestTerm;
    this.knownLeader = null;
  }

  // ---- end of this node's term

  /** Gives the lead up; any node may take it. */
  stepDown(reason: StepDownReason): void {
    const { lease } = this;
    if (lease === null) return;
    this.eventLoop.log.info({ term: lease.term, reason }, 'no longer leader');
    this.lease = null;
    lease.close();
    this.forgetLeader();
    this.client.budget.setRole(false);
    // Otherwise a late copy of the request that created the key could create it once more under a
    // lease that nobody renews.
    lease.revoke();
    this.events.deposed();
    this.watch.retry();
  }

  /** Gives the lead to a node that may be better placed. */
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

  /** Nothing is read or done in the new term while the previous leader may still answer workers. */
  private beginTermOnceGrantExpires(lease: LeaderLease): void {
    if (this.lease !== lease) return;
    const { remainingMs } = this.leaseGrant;
    if (remainingMs === 0) return this.events.elected(lease.term);
    this.eventLoop.after(remainingMs, BEGIN_TERM_EVENT, () =>
      this.beginTermOnceGrantExpires(lease),
    );
  }
}
