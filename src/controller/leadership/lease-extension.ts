/**
 * The right of a leader to answer workers beyond its lease, while the state store serves nobody.
 * Workers end their tasks when nobody answers them for a lease of theirs, and an outage may be longer.
 *
 * The leader asks every other controller, again and again, for a lease grant: the promise not to act as
 * leader for a short time. It may answer workers for that time, counted from when it asked, once all
 * have granted it. From its last renewal on either its lease was held or all others were bound by their
 * grants, so nobody else has acted. A leader that has let a gap come up between the two gets no
 * extension any more until its lease is renewed (design.md, invariant 1).
 */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';

/** Rounds of requests while one grant lasts. */
const ROUNDS_PER_GRANT = 3;

/** Asks the controller on a host for its grant; `done` tells whether it has been given. */
export type RequestLeaseGrant = (
  host: string,
  term: number,
  timeoutMs: number,
  done: (granted: boolean) => void,
) => void;

/** Whose lease is to be extended, and for how long that is wanted. */
export interface ExtensionRequest {
  /** Term of the leader. */
  term: number;
  /** Until when the leader holds its lease, on its steady clock. */
  leaseHeldUntil: () => number;
  /** Asked before each round; false ends the extension. */
  isUseful: () => boolean;
}

/** An extension for which the others are asked. */
interface RunningExtension {
  kind: 'running';
  request: ExtensionRequest;
  /** Until when all others are bound by their grants. */
  grantedUntil: number;
}

type ExtensionState =
  | { kind: 'idle' }
  | RunningExtension
  /** There was a moment at which neither the lease was held nor all others were bound. */
  | { kind: 'lapsed' };

/** The extensions of one lease, at most one at a time. */
export class LeaseExtension {
  private state: ExtensionState = { kind: 'idle' };

  /** `peers`: hosts of all other controllers. */
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'after' | 'now'>,
    private readonly settings: Pick<Settings, 'leaseGrantMs'>,
    private readonly peerHosts: readonly string[],
    private readonly requestGrant: RequestLeaseGrant,
  ) {}

  /** All others are bound by their grants at this moment. */
  get isActive(): boolean {
    return this.state.kind === 'running' && this.eventLoop.now() < this.state.grantedUntil;
  }

  /** Begins an extension, unless one is running or has lapsed, or there are no other controllers. */
  begin(request: ExtensionRequest): void {
    if (this.state.kind !== 'idle' || this.peerHosts.length === 0) return;
    const extension: RunningExtension = { kind: 'running', request, grantedUntil: -Infinity };
    this.state = extension;
    this.runRounds(extension);
  }

  /** No extension is wanted any more: the lease has been renewed, or the term is over. */
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
    // Between then and now another controller may have acted as leader.
    const hasLapsed = this.eventLoop.now() >= coveredUntil;
    if (hasLapsed) this.state = { kind: 'lapsed' };
    else
      extension.grantedUntil = Math.max(
        extension.grantedUntil,
        requestedAt + this.settings.leaseGrantMs,
      );
  }
}
