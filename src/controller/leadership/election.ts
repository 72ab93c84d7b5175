/** An attempt to become leader: a lease is granted and the leader's key made under it. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { TransactionResult } from '../store/results.js';
import { LEADER_KEY, readLeader } from './leader-record.js';

/** A lease that was granted for an election. */
interface Candidacy {
  lease: number;
  /** When the lease was asked for, on this node's clock. */
  sentAt: number;
}

/** An election that this node has won. */
export interface WonElection extends Candidacy {
  term: number;
}

/** Told of the outcome; null: not elected. */
export type ElectionCallback = (won: WonElection | null) => void;

/** Runs at most one attempt at a time. */
export class Election {
  private running = false;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    private readonly identity: string,
  ) {}

  /** An attempt has not been decided yet. */
  get inProgress(): boolean {
    return this.running;
  }

  private get timeoutMs(): number {
    return this.settings.leaderLeaseMs / 4;
  }

  /** Starts an attempt unless one is in progress. */
  start(done: ElectionCallback): void {
    if (this.running) return;
    this.running = true;
    const sentAt = this.eventLoop.now();
    const decided: ElectionCallback = (won) => {
      this.running = false;
      done(won);
    };
    this.client.grantLease(this.settings.leaderLeaseMs, this.timeoutMs, (granted) => {
      if (granted.kind === 'failed') decided(null);
      else this.makeKey({ lease: granted.value, sentAt }, decided);
    });
  }

  private makeKey(candidacy: Candidacy, decided: ElectionCallback): void {
    const { lease } = candidacy;
    const value = { host: this.settings.platform.host, identity: this.identity, lease };
    this.client.budget.requestTokens.forceTake();
    this.client.transact(
      [{ key: LEADER_KEY, version: 0 }],
      [{ put: LEADER_KEY, value, lease }],
      this.timeoutMs,
      (result) => this.keyMade(candidacy, result, decided),
    );
  }

  private keyMade(
    candidacy: Candidacy,
    result: TransactionResult,
    decided: ElectionCallback,
  ): void {
    if (result.kind === 'ok') decided({ ...candidacy, term: result.revision });
    // Perhaps it was made: only reading tells.
    else if (result.kind === 'unknown') this.readKey(candidacy, decided);
    else this.lost(candidacy, decided);
  }

  private readKey(candidacy: Candidacy, decided: ElectionCallback): void {
    this.client.budget.requestTokens.forceTake();
    this.client.read(LEADER_KEY, this.timeoutMs, (got) => {
      const item = got.kind === 'ok' ? got.value : null;
      const leader = item === null ? null : readLeader(item.value, item.version);
      if (leader?.identity === this.identity && leader.lease === candidacy.lease)
        decided({ ...candidacy, term: leader.term });
      else this.lost(candidacy, decided);
    });
  }

  private lost(candidacy: Candidacy, decided: ElectionCallback): void {
    this.client.revokeLease(candidacy.lease, this.timeoutMs, () => undefined);
    decided(null);
  }
}
