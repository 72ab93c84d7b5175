import type { Core } from '../core/core.js';
import type { Settings } from '../settings/settings.js';
import type { StateClient } from '../store/client.js';
import { isMap } from '../wire/cbor.js';

export const LEADER_KEY = 'lead';

export interface LeaderInfo {
  host: string;
  identity: string;
  lease: number;
  /** Version of the key: the leader's term. */
  term: number;
}

export interface LeadershipEvents {
  elected(term: number): void;
  /** The same term goes on after a time in which this node might not act. */
  resumed(): void;
  deposed(): void;
}

/**
 * Who leads. The leader holds a key bound to a lease of the state service; the version that the key
 * got when it was created is the leader's term, and the token that workers see. It grows with every
 * change at the service, so a later leader's is always higher.
 */
export class Leadership {
  private info: LeaderInfo | null = null;
  private mine: { term: number; lease: number } | null = null;
  /** This node may act as leader until then, on its own clock. */
  private actUntil = -Infinity;
  /** The latest term that is known to be over. */
  private endedTerm = 0;
  private trying = false;
  private watching = false;
  /** This node has handed over and leaves the lead to the others until then, if they take it. */
  private standsBackUntil = -Infinity;
  private leftToOthers = false;
  /** Guards against answers to questions of an earlier term or role. */
  private generation = 0;

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    private readonly client: StateClient,
    readonly identity: string,
    private readonly events: LeadershipEvents,
  ) {}

  start(): void {
    this.look();
  }

  get term(): number | null {
    return this.mine?.term ?? null;
  }

  /** The lease still runs, counted from when its last successful renewal was sent. */
  get acting(): boolean {
    return this.mine !== null && this.core.now() < this.actUntil;
  }

  get leader(): LeaderInfo | null {
    return this.info;
  }

  /** Somebody has shown a term above ours: there is a later leader. */
  higherTerm(term: number): void {
    if (this.mine === null || term <= this.mine.term) return;
    this.core.log.warn({ term: this.mine.term, seen: term }, 'a later term was seen');
    this.stepDown('higher term');
  }

  /**
   * A peer says who leads. That is no proof of anything, but good enough to send workers there; and
   * if it is a later leader than this node, whom the state service may not serve just now, this
   * node's term is over.
   */
  heard(host: string, term: number): void {
    if (host === '') return;
    this.higherTerm(term);
    if (this.mine !== null || term <= Math.max(this.endedTerm, this.info?.term ?? 0)) return;
    this.info = { host, identity: '', lease: 0, term };
  }

  private noLeader(): void {
    this.endedTerm = Math.max(this.endedTerm, this.info?.term ?? 0);
    this.info = null;
  }

  stepDown(reason: string): void {
    const { mine } = this;
    if (mine === null) return;
    this.core.log.info({ term: mine.term, reason }, 'no longer leader');
    this.mine = null;
    this.actUntil = -Infinity;
    this.noLeader();
    this.generation++;
    this.client.setRole(false);
    // The lease goes too: otherwise a late copy of the request that made the key could make it
    // once more under a lease that nobody renews.
    this.client.revoke(mine.lease, this.timeout, () => undefined);
    this.events.deposed();
    this.retry();
  }

  /** Gives the lead to a node that may be better placed. */
  handOver(reason: string): void {
    this.standsBackUntil = this.core.now() + this.settings.workerLeaseMs;
    this.leftToOthers = false;
    this.stepDown(reason);
  }

  /** The key is free. Who has handed over takes it only if no other node does within a moment. */
  private contend(): void {
    this.noLeader();
    if (this.leftToOthers || this.core.now() >= this.standsBackUntil) return this.acquire();
    this.leftToOthers = true;
    this.core.after(this.settings.leaderLeaseMs / 2, 'look', () => this.look());
  }

  private get timeout(): number {
    return this.settings.leaderLeaseMs / 4;
  }

  private retry(): void {
    const ms = this.settings.leaderLeaseMs * (0.04 + 0.04 * this.core.env.random());
    this.core.after(ms, 'look', () => this.look());
  }

  /** Finds out who leads, then waits for a change, then looks again. */
  private look(): void {
    if (this.watching || this.trying || this.mine !== null) return;
    this.watching = true;
    this.client.tokens.force();
    this.client.get(LEADER_KEY, this.timeout, (got) => {
      this.watching = false;
      if (this.mine !== null) return;
      if (got.kind === 'failed') return this.retry();
      const item = got.value;
      if (item === null) return this.contend();
      this.leftToOthers = false;
      const info = this.read(item.value, item.version);
      if (info === null) return this.retry();
      if (info.host === this.settings.platform.host && info.identity !== this.identity) {
        // The key is of an earlier process of this very host, which has ended: one runs at a time.
        this.core.log.info({ term: info.term }, 'ending the lease of the process before');
        this.client.revoke(info.lease, this.timeout, () => this.look());
        return;
      }
      this.info = info;
      this.follow(item.version);
    });
  }

  private read(value: unknown, version: number): LeaderInfo | null {
    if (!isMap(value)) return null;
    const { host, identity, lease } = value;
    if (typeof host !== 'string' || typeof identity !== 'string' || typeof lease !== 'number')
      return null;
    return { host, identity, lease, term: version };
  }

  private follow(from: number): void {
    this.watching = true;
    this.client.follow(LEADER_KEY, from, this.settings.leaderLeaseMs, (got) => {
      this.watching = false;
      if (this.mine !== null) return;
      if (got.kind !== 'ok') {
        this.retry();
        return;
      }
      const last = got.value.events.filter((e) => e.key === LEADER_KEY).at(-1);
      if (last === undefined) this.follow(Math.max(from, got.value.revision));
      else if (last.kind === 'put') {
        this.info = this.read(last.value, last.version);
        this.follow(got.value.revision);
      } else this.contend();
    });
  }

  private acquire(): void {
    if (this.trying) return;
    this.trying = true;
    const sent = this.core.now();
    this.client.grant(this.settings.leaderLeaseMs, this.timeout, (granted) => {
      if (granted.kind === 'failed') {
        this.trying = false;
        return this.retry();
      }
      const lease = granted.value;
      const value = { host: this.settings.platform.host, identity: this.identity, lease };
      const give = (): void => {
        this.trying = false;
        this.client.revoke(lease, this.timeout, () => undefined);
        this.retry();
      };
      this.client.tokens.force();
      this.client.multi(
        [{ key: LEADER_KEY, version: 0 }],
        [{ put: LEADER_KEY, value, lease }],
        this.timeout,
        (r) => {
          if (r.kind === 'ok') {
            this.trying = false;
            this.won(r.revision, lease, sent);
          } else if (r.kind === 'unknown') {
            // Perhaps it was made: only reading tells.
            this.client.tokens.force();
            this.client.get(LEADER_KEY, this.timeout, (got) => {
              const info =
                got.kind === 'ok' && got.value !== null
                  ? this.read(got.value.value, got.value.version)
                  : null;
              if (info?.identity === this.identity && info.lease === lease) {
                this.trying = false;
                this.won(info.term, lease, sent);
              } else give();
            });
          } else give();
        },
      );
    });
  }

  private won(term: number, lease: number, sent: number): void {
    this.mine = { term, lease };
    this.actUntil = sent + this.settings.leaderActsMs;
    this.info = { host: this.settings.platform.host, identity: this.identity, lease, term };
    this.generation++;
    this.client.setRole(true);
    this.core.log.info({ term }, 'elected leader');
    this.renewLater(this.generation, this.settings.renewMs);
    this.events.elected(term);
  }

  private renewLater(generation: number, ms: number): void {
    this.core.after(ms, 'renew', () => {
      if (generation === this.generation) this.renew(generation);
    });
  }

  private renew(generation: number): void {
    const { mine } = this;
    if (mine === null) return;
    const sent = this.core.now();
    this.client.extend(mine.lease, this.timeout, (r) => {
      if (generation !== this.generation) return;
      if (r === 'ended') return this.stepDown('lease ended');
      if (r === 'ok') {
        // Told even if the gap came while the renewal was on its way.
        const gap = !this.acting;
        this.actUntil = Math.max(this.actUntil, sent + this.settings.leaderActsMs);
        if (gap) {
          this.core.log.info({ term: mine.term }, 'lease renewed after a gap');
          this.events.resumed();
        }
        this.renewLater(generation, this.settings.renewMs);
      } else this.renewLater(generation, this.settings.renewMs / 4);
    });
  }
}
