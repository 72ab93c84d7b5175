/** The lease that this node holds at the state store for one term as leader. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { RenewalOutcome } from '../store/results.js';
import type { WonElection } from './election.js';
import { LeaseExtension, type RequestLeaseGrant } from './lease-extension.js';

/** Name of the renewal timer in the log. */
const RENEW_EVENT = 'renew-lease';

/** After a failed renewal the delay before the next one is the usual interval divided by this factor. */
const RETRY_FACTOR = 4;

/** Callbacks of the lease to its owner. */
export interface LeaderLeaseEvents {
  /** The lease no longer exists at the state store. */
  expired(): void;
  /** The lease was renewed after it had run out on this node's monotonic clock. */
  recovered(): void;
  /** Whether it is useful to extend the right to answer workers beyond the lease. */
  shouldExtend(): boolean;
}

/**
 * Renews the lease periodically until `close` is called. A leader acts only while it holds its lease
 * (design.md, invariant 1). The lease counts as held for its time to live, less the clock drift and a margin.
 * This time is counted on this node's monotonic clock, from when the last successful renewal was _sent_ (at
 * first, from when the lease was requested).
 */
export class LeaderLease {
  /** Term of the leader that holds the lease. */
  readonly term: number;
  private readonly leaseId: number;
  private readonly extension: LeaseExtension;
  /** Time until which this node holds the lease, on its monotonic clock in ms. */
  private heldUntil: number;
  private isClosed = false;

  /** @param requestGrant - requests a lease grant from another controller */
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

  /** Whether this node holds the lease. */
  get isHeld(): boolean {
    return this.eventLoop.now() < this.heldUntil;
  }

  /** Whether all other controllers have granted that this node may answer workers beyond its lease. */
  get isExtended(): boolean {
    return this.extension.isActive;
  }

  /** Starts the periodic renewals. */
  start(): void {
    this.renewAfter(this.settings.leaderRenewIntervalMs);
  }

  /** Stops renewals and extensions. The lease remains at the state store until it expires or is revoked. */
  close(): void {
    this.isClosed = true;
    this.extension.end();
  }

  /** Revokes the lease at the state store, which deletes the leader key. */
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
    // Also true if the lease ran out only while this renewal was in flight.
    const hadExpired = !this.isHeld;
    this.heldUntil = Math.max(this.heldUntil, sentAt + this.settings.usableLeaderLeaseMs);
    this.extension.end();
    if (!hadExpired) return;
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
