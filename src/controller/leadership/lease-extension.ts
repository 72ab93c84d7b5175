/**
 * A leader's right to answer workers beyond its lease, while the state service serves nobody. Workers
 * end their tasks when nobody answers them for a lease of theirs, and an outage may be longer.
 *
 * The leader asks every other controller for a promise not to act as leader for a short time, again and
 * again. It may answer workers for that time, counted from when it has asked, once all have promised.
 * From its last renewal on either its lease ran or all the others were bound, so nobody else has acted:
 * a leader that has let a gap come up gets no extension any more until its lease is renewed.
 */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';

/** Rounds of requests while one promise lasts. */
const ROUNDS_PER_GRANT = 3;

/** Asks another controller for its promise; `done` tells whether it has been given. */
export type RequestLeaseGrant = (
  host: string,
  term: number,
  timeoutMs: number,
  done: (promised: boolean) => void,
) => void;

/** The rounds of one leader at a time. */
export class LeaseExtension {
  private grantedUntil = -Infinity;
  /** There was a moment at which neither the lease ran nor promises did. */
  private gap = false;
  /** Guards against answers to rounds of a time before; `null`: no extension is wanted. */
  private wanted: object | null = null;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'after' | 'now'>,
    private readonly settings: Pick<Settings, 'leaseGrantMs'>,
    private readonly peers: readonly string[],
    private readonly requestGrant: RequestLeaseGrant,
  ) {}

  /** All others are bound by promises at this moment. */
  get active(): boolean {
    return this.eventLoop.now() < this.grantedUntil;
  }

  /**
   * Begins the rounds, unless they go on already. `leaseUntil`: when the lease ends, by this node's
   * clock. `useful`: false ends the rounds.
   */
  begin(term: number, leaseUntil: () => number, useful: () => boolean): void {
    if (this.wanted !== null || this.peers.length === 0) return;
    const wanted = {};
    this.wanted = wanted;
    const next = (): void => {
      if (this.wanted !== wanted || this.gap) return;
      if (!useful()) return this.end();
      this.requestGrants(term, wanted, leaseUntil);
      this.eventLoop.after(this.settings.leaseGrantMs / ROUNDS_PER_GRANT, 'promises', next);
    };
    next();
  }

  /** No extension is wanted any more: the lease has been renewed, or the term is over. */
  end(): void {
    this.wanted = null;
    this.gap = false;
    this.grantedUntil = -Infinity;
  }

  private requestGrants(term: number, wanted: object, leaseUntil: () => number): void {
    const { leaseGrantMs } = this.settings;
    const askedAt = this.eventLoop.now();
    let missing = this.peers.length;
    for (const host of this.peers)
      this.requestGrant(host, term, leaseGrantMs, (promised) => {
        if (!promised || this.wanted !== wanted) return;
        missing--;
        if (missing === 0) this.allGranted(askedAt, leaseUntil());
      });
  }

  private allGranted(askedAt: number, leaseUntil: number): void {
    // Before this moment another may have acted.
    this.gap = this.eventLoop.now() >= Math.max(leaseUntil, this.grantedUntil);
    if (this.gap) return;
    this.grantedUntil = Math.max(this.grantedUntil, askedAt + this.settings.leaseGrantMs);
  }
}
