/**
 * Lets a leader answer workers beyond its lease during an outage of the state store. Workers stop their
 * tasks if they get no answer for the duration of a worker lease, and an outage may last longer.
 *
 * The leader periodically requests a lease grant from every other controller: a promise not to act as leader
 * for a short time. Once all of them have given the grant, the leader may answer workers for that time,
 * counted from when it sent the requests. So at every moment since the lease was last renewed, either the
 * leader held its lease or all other controllers were bound by grants. In both cases no other leader has
 * acted. If there was a gap between the lease and the grants, or between two rounds of grants, the extension
 * lapses. No further extension begins until the lease has been renewed (design.md, invariant 1: only one
 * leader acts at a time).
 */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';

/** Number of rounds of grant requests per duration of a grant. */
const ROUNDS_PER_GRANT = 3;

/** Requests a lease grant from the controller on a host; `done` gets true if the grant is given, else false. */
export type RequestLeaseGrant = (
  host: string,
  term: number,
  timeoutMs: number,
  done: (granted: boolean) => void,
) => void;

/** The lease to extend, and the condition under which the extension continues. */
export interface ExtensionRequest {
  /** Term of the leader. */
  term: number;
  /** Returns the time until which the leader holds its lease, on its monotonic clock in ms. */
  leaseHeldUntil: () => number;
  /** Called before each round of requests; the extension ends if it returns false. */
  isUseful: () => boolean;
}

/** An extension for which grants are being requested. */
interface RunningExtension {
  kind: 'running';
  request: ExtensionRequest;
  /** Time until which all other controllers are bound by their grants, on the leader's monotonic clock in ms. */
  grantedUntil: number;
}

type ExtensionState =
  | { kind: 'idle' }
  | RunningExtension
  /** At some moment neither the lease was held nor all other controllers were bound by grants. */
  | { kind: 'lapsed' };

/** Manages the extensions of one lease, of which at most one runs at a time. */
export class LeaseExtension {
  private state: ExtensionState = { kind: 'idle' };

  /** @param peerHosts - the hosts of all other controllers */
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'after' | 'now'>,
    private readonly settings: Pick<Settings, 'leaseGrantMs'>,
    private readonly peerHosts: readonly string[],
    private readonly requestGrant: RequestLeaseGrant,
  ) {}

  /** Whether all other controllers are currently bound by their grants. */
  get isActive(): boolean {
    return this.state.kind === 'running' && this.eventLoop.now() < this.state.grantedUntil;
  }

  /** Starts an extension, unless one is running or has lapsed, or there are no other controllers. */
  begin(request: ExtensionRequest): void {
    if (this.state.kind !== 'idle' || this.peerHosts.length === 0) return;
    const extension: RunningExtension = { kind: 'running', request, grantedUntil: -Infinity };
    this.state = extension;
    this.runRounds(extension);
  }

  /** Ends the extension, because the lease was renewed, the term has ended, or it is no longer useful. */
  end(): void {
    this.state = { kind: 'idle' };
  }

  private runRounds(extension: RunningExtension): void {
    if (this.state !== extension) return;
    if (!extension.request.isUseful()) return this.end();
    this.runRound(extension);
    const intervalMs = this.settings.leaseGrantMs / ROUNDS_PER_GRANT;
    this.eventLoop.after(intervalMs, 'lease-grants', () => this.runRounds(extension));
  }

  private runRound(extension: RunningExtension): void {
    const { leaseGrantMs } = this.settings;
    const requestedAt = this.eventLoop.now();
    let missingGrants = this.peerHosts.length;
    for (const host of this.peerHosts)
      this.requestGrant(host, extension.request.term, leaseGrantMs, (granted) => {
        if (!granted || this.state !== extension) return;
        missingGrants--;
        if (missingGrants === 0) this.allGranted(extension, requestedAt);
      });
  }

  private allGranted(extension: RunningExtension, requestedAt: number): void {
    const coveredUntil = Math.max(extension.request.leaseHeldUntil(), extension.grantedUntil);
    // If `coveredUntil` has passed, another controller may have acted as leader since then.
    const hasLapsed = this.eventLoop.now() >= coveredUntil;
    if (hasLapsed) this.state = { kind: 'lapsed' };
    else
      extension.grantedUntil = Math.max(
        extension.grantedUntil,
        requestedAt + this.settings.leaseGrantMs,
      );
  }
}
