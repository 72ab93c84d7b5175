/** Election, renewal and hand-over of the lead among the controllers. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { ReadResult } from '../store/results.js';
import type { WatchEvent, KeyValue } from '../wire/state.js';
import { Election, type WonElection } from './election.js';
import { LEADER_KEY, readLeader, type LeaderInfo } from './leader-record.js';
import { LeaseExtension, type RequestLeaseGrant } from './lease-extension.js';
import { LeaseGrant } from './lease-grant.js';

/** Names of the timers' commands in the log. */
const OBSERVE_COMMAND = 'look';
const RENEW_COMMAND = 'renew';
const BEGIN_COMMAND = 'begin-term';

/** Wait before the key is read again, as a share of the lease: the least, and what chance adds. */
const RETRY_RATIO = 0.04;
const RETRY_JITTER_RATIO = 0.04;

/** The lease and the term of this node while it leads. */
interface OwnTerm {
  term: number;
  lease: number;
}

/** What is told of this node's own terms. */
export interface LeadershipEvents {
  /** This node leads from now on. */
  elected(term: number): void;
  /** The same term goes on after a time in which this node might not act. */
  leaseRecovered(): void;
  /** This node leads no longer. */
  deposed(): void;
  /** Whether the leader has a use for answering workers beyond its lease. */
  shouldExtendLease(): boolean;
}

/**
 * Who leads. The leader holds a key bound to a lease of the state service; the version that the key
 * got when it was created is the leader's term, and the token that workers see. It grows with every
 * change at the service, so a later leader's is always higher.
 */
export class Leadership {
  private knownLeader: LeaderInfo | null = null;
  private ownTerm: OwnTerm | null = null;
  /** This node may act as leader until then, on its own clock. */
  private leaseHeldUntil = -Infinity;
  /** The latest term that is known to be over. */
  private endedTerm = 0;
  private readonly election: Election;
  private observing = false;
  /** This node has handed over and leaves the lead to the others until then, if they take it. */
  private yieldsUntil = -Infinity;
  private yielded = false;
  private readonly leaseGrant: LeaseGrant;
  private readonly extension: LeaseExtension;
  /** Guards against answers to questions of an earlier term or role. */
  private generation = 0;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    readonly identity: string,
    private readonly events: LeadershipEvents,
    askPromise: RequestLeaseGrant,
  ) {
    const peers = settings.platform.peers.map(({ host }) => host);
    this.leaseGrant = new LeaseGrant(eventLoop, settings);
    this.extension = new LeaseExtension(eventLoop, settings, peers, askPromise);
    this.election = new Election(eventLoop, settings, client, identity);
  }

  /** Finds out who leads, and takes the lead if nobody does. */
  start(): void {
    this.observe();
  }

  /** This node's term while it leads. */
  get term(): number | null {
    return this.ownTerm?.term ?? null;
  }

  /**
   * Workers may be answered: the lease runs, or the state service serves nobody and all other
   * controllers are bound by promises. Nothing else may be done without the lease.
   */
  get mayAnswerWorkers(): boolean {
    return this.holdsLease || (this.ownTerm !== null && this.extension.active);
  }

  /**
   * A leader that the state service does not serve asks this node not to act as leader for a while.
   * False if this node leads, or knows that the term is over.
   */
  grantLease(term: number): boolean {
    const over = term <= this.endedTerm || term < (this.knownLeader?.term ?? 0);
    if (this.ownTerm !== null || over) return false;
    this.leaseGrant.grant();
    return true;
  }

  /** The lease still runs, counted from when its last successful renewal was sent. */
  get holdsLease(): boolean {
    return this.ownTerm !== null && this.eventLoop.now() < this.leaseHeldUntil;
  }

  /** Who leads, as far as this node knows. */
  get leader(): LeaderInfo | null {
    return this.knownLeader;
  }

  /** Somebody has shown a term above ours: there is a later leader. */
  observeTerm(term: number): void {
    if (this.ownTerm === null || term <= this.ownTerm.term) return;
    this.eventLoop.log.warn({ term: this.ownTerm.term, seen: term }, 'a later term was seen');
    this.stepDown('higher term');
  }

  /**
   * A peer says who leads. That is no proof of anything, but good enough to send workers there; and
   * if it is a later leader than this node, whom the state service may not serve just now, this
   * node's term is over.
   */
  peerReportedLeader(host: string, term: number): void {
    if (host === '') return;
    this.observeTerm(term);
    if (this.ownTerm !== null || term <= Math.max(this.endedTerm, this.knownLeader?.term ?? 0))
      return;
    this.knownLeader = { host, identity: '', lease: 0, term };
  }

  private noLeader(): void {
    this.endedTerm = Math.max(this.endedTerm, this.knownLeader?.term ?? 0);
    this.knownLeader = null;
  }

  /** Gives the lead up; any node may take it. */
  stepDown(reason: string): void {
    const { ownTerm } = this;
    if (ownTerm === null) return;
    this.eventLoop.log.info({ term: ownTerm.term, reason }, 'no longer leader');
    this.ownTerm = null;
    this.leaseHeldUntil = -Infinity;
    this.extension.end();
    this.noLeader();
    this.generation++;
    this.client.budget.setRole(false);
    // The lease goes too: otherwise a late copy of the request that made the key could make it
    // once more under a lease that nobody renews.
    this.client.revokeLease(ownTerm.lease, this.timeoutMs, () => undefined);
    this.events.deposed();
    this.retry();
  }

  /** Gives the lead to a node that may be better placed. */
  handOver(reason: string): void {
    this.yieldsUntil = this.eventLoop.now() + this.settings.workerLeaseMs;
    this.yielded = false;
    this.stepDown(reason);
  }

  /** The key is free. Who has handed over takes it only if no other node does within a moment. */
  private contend(): void {
    this.noLeader();
    if (this.yielded || this.eventLoop.now() >= this.yieldsUntil) return this.elect();
    this.yielded = true;
    this.eventLoop.after(this.settings.leaderLeaseMs / 2, OBSERVE_COMMAND, () => this.observe());
  }

  private get timeoutMs(): number {
    return this.settings.leaderLeaseMs / 4;
  }

  private retry(): void {
    const ms =
      this.settings.leaderLeaseMs *
      (RETRY_RATIO + RETRY_JITTER_RATIO * this.eventLoop.runtime.random());
    this.eventLoop.after(ms, OBSERVE_COMMAND, () => this.observe());
  }

  /** Finds out who leads, then waits for a change, then observes again. */
  private observe(): void {
    if (this.observing || this.election.inProgress || this.ownTerm !== null) return;
    this.observing = true;
    this.client.budget.requestTokens.forceTake();
    this.client.read(LEADER_KEY, this.timeoutMs, (got) => {
      this.observing = false;
      if (this.ownTerm === null) this.observed(got);
    });
  }

  private observed(got: ReadResult<KeyValue | null>): void {
    if (got.kind === 'failed') return this.retry();
    const item = got.value;
    if (item === null) return this.contend();
    this.yielded = false;
    const leader = readLeader(item.value, item.version);
    if (leader === null) return this.retry();
    if (leader.host === this.settings.platform.host && leader.identity !== this.identity) {
      // The key is of an earlier process of this very host, which has ended: one runs at a time.
      this.eventLoop.log.info({ term: leader.term }, 'ending the lease of the process before');
      this.client.revokeLease(leader.lease, this.timeoutMs, () => this.observe());
      return;
    }
    this.knownLeader = leader;
    this.follow(item.version);
  }

  /** Waits for a change of the leader's key after a revision. */
  private follow(revision: number): void {
    this.observing = true;
    this.client.watch(LEADER_KEY, revision, this.settings.leaderLeaseMs, (got) => {
      this.observing = false;
      if (this.ownTerm !== null) return;
      if (got.kind === 'ok') this.changed(got.value.events, revision, got.value.revision);
      else this.retry();
    });
  }

  private changed(events: readonly WatchEvent[], followedFrom: number, revision: number): void {
    const last = events.filter((event) => event.key === LEADER_KEY).at(-1);
    if (last === undefined) this.follow(Math.max(followedFrom, revision));
    else if (last.kind === 'put') {
      this.knownLeader = readLeader(last.value, last.version);
      this.follow(revision);
    } else this.contend();
  }

  private elect(): void {
    this.election.start((won) => {
      if (won === null) this.retry();
      else this.won(won);
    });
  }

  private won({ term, lease, sentAt }: WonElection): void {
    this.ownTerm = { term, lease };
    this.leaseHeldUntil = sentAt + this.settings.usableLeaderLeaseMs;
    this.knownLeader = { host: this.settings.platform.host, identity: this.identity, lease, term };
    this.generation++;
    this.client.budget.setRole(true);
    this.eventLoop.log.info({ term }, 'elected leader');
    this.renewLater(this.generation, this.settings.leaderRenewIntervalMs);
    this.beginTermOnceGrantExpires(this.generation, term);
  }

  /** Nothing is read or done in the new term while the leader before may still answer workers. */
  private beginTermOnceGrantExpires(generation: number, term: number): void {
    if (generation !== this.generation) return;
    const { remainingMs } = this.leaseGrant;
    if (remainingMs === 0) return this.events.elected(term);
    this.eventLoop.after(remainingMs, BEGIN_COMMAND, () =>
      this.beginTermOnceGrantExpires(generation, term),
    );
  }

  private renewLater(generation: number, ms: number): void {
    this.eventLoop.after(ms, RENEW_COMMAND, () => {
      if (generation === this.generation) this.renew(generation);
    });
  }

  private renew(generation: number): void {
    const { ownTerm } = this;
    if (ownTerm === null) return;
    const sentAt = this.eventLoop.now();
    this.client.renewLease(ownTerm.lease, this.timeoutMs, (outcome) => {
      if (generation !== this.generation) return;
      if (outcome === 'expired') return this.stepDown('lease ended');
      if (outcome === 'ok') this.renewed(ownTerm, sentAt);
      else this.extend(ownTerm);
      const waitMs =
        outcome === 'ok'
          ? this.settings.leaderRenewIntervalMs
          : this.settings.leaderRenewIntervalMs / 4;
      this.renewLater(generation, waitMs);
    });
  }

  /** The lease could not be renewed just now. */
  private extend({ term }: OwnTerm): void {
    const leaseUntil = (): number => this.leaseHeldUntil;
    this.extension.begin(term, leaseUntil, () => this.events.shouldExtendLease());
  }

  private renewed(ownTerm: OwnTerm, sentAt: number): void {
    // Told even if the gap came while the renewal was on its way.
    const gap = !this.holdsLease;
    this.leaseHeldUntil = Math.max(this.leaseHeldUntil, sentAt + this.settings.usableLeaderLeaseMs);
    this.extension.end();
    if (!gap) return;
    this.eventLoop.log.info({ term: ownTerm.term }, 'lease renewed after a gap');
    this.events.leaseRecovered();
  }
}
