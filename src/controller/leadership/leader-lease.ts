/** The lease of one term of this node as leader. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { RenewalOutcome } from '../store/results.js';
import type { WonElection } from './election.js';
import { LeaseExtension, type RequestLeaseGrant } from './lease-extension.js';

/** Name of the timers' command in the log. */
const RENEW_EVENT = 'renew-lease';

/** After a failed renewal the next is tried sooner by this factor. */
const RETRY_FACTOR = 4;

/** What the lease asks and tells. */
export interface LeaderLeaseEvents {
  /** The state store no longer has the lease. */
  expired(): void;
  /** The lease has been renewed after a time in which this node did not hold it. */
  recovered(): void;
  /** Whether answering workers beyond the lease is of use. */
  shouldExtend(): boolean;
}

/**
 * Renews the lease until it is closed. The lease is held from when its last successful renewal was
 * _sent_, on this node's clock, for less than its time to live (design.md, invariant 1).
 */
export class LeaderLease {
  /** Term of the leader that holds the lease. */
  readonly term: number;
  private readonly leaseId: number;
  private readonly extension: LeaseExtension;
  /** Until when this node holds the lease, on its steady clock. */
  private heldUntil: number;
  private isClosed = false;

  /** `requestGrant`: asks another controller for a lease grant. */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    { term, leaseId, requestedAt }: WonElection,
    private readonly events: LeaderLeaseEvents,
    requestGrant: RequestLeaseGrant,
  ) {
    this.term = term;
    this.leaseId = leaseId;
    this.heldUntil = requestedAt + settings.usableLeaderLeaseMs;
    const peers = settings.platform.peers.map(({ host }) => host);
    this.extension = new LeaseExtension(eventLoop, settings, peers, requestGrant);
  }

  /** This node holds the lease. */
  get isHeld(): boolean {
    return this.eventLoop.now() < this.heldUntil;
  }

  /** All other controllers have granted that this node answers workers beyond its lease. */
  get isExtended(): boolean {
    return this.extension.isActive;
  }

  /** Begins to renew the lease. */
  start(): void {
    this.renewAfter(this.settings.leaderRenewIntervalMs);
  }

  /** Ends renewals and extensions; the lease itself goes on at the state store. */
  close(): void {
    this.isClosed = true;
    this.extension.end();
  }

  /** Revokes the lease at the state store, and with it the leader key. */
  revoke(): void {
    this.client.revokeLease(this.leaseId, this.timeoutMs, () => undefined);
  }

  private get timeoutMs(): number {
    return this.settings.leaderLeaseMs / 4;
  }

  private renewAfter(delayMs: number): void {
    this.eventLoop.after(delayMs, RENEW_EVENT, () => {
      if (!this.isClosed) this.renew();
    });
  }

  private renew(): void {
    const sentAt = this.eventLoop.now();
    this.client.renewLease(this.leaseId, this.timeoutMs, (outcome) => {
      if (!this.isClosed) this.renewalAnswered(outcome, sentAt);
    });
  }

  private renewalAnswered(outcome: RenewalOutcome, sentAt: number): void {
    const { leaderRenewIntervalMs } = this.settings;
    switch (outcome) {
      case 'expired':
        return this.events.expired();
      case 'ok':
        this.renewed(sentAt);
        return this.renewAfter(leaderRenewIntervalMs);
      case 'failed':
        this.extend();
        return this.renewAfter(leaderRenewIntervalMs / RETRY_FACTOR);
    }
  }

  private renewed(sentAt: number): void {
    // Told even if the gap began while the renewal was on its way.
    const hadGap = !this.isHeld;
    this.heldUntil = Math.max(this.heldUntil, sentAt + this.settings.usableLeaderLeaseMs);
    this.extension.end();
    if (!hadGap) return;
    this.eventLoop.log.info({ term: this.term }, 'lease renewed after a gap');
    this.events.recovered();
  }

  private extend(): void {
    this.extension.begin({
      term: this.term,
      leaseHeldUntil: () => this.heldUntil,
      isUseful: () => this.events.shouldExtend(),
    });
  }
}
