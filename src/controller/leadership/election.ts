/** An attempt to become leader: requests a lease and creates the leader key under it. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { TransactionResult } from '../store/results.js';
import { LEADER_KEY, readLeaderRecord, writeLeaderRecord } from './leader-record.js';

/** A lease that the state store granted for an election. */
interface Candidacy {
  leaseId: number;
  /** When the lease was requested, on this node's monotonic clock in ms. */
  requestedAt: number;
}

/** An election that this node has won. */
export interface WonElection extends Candidacy {
  kind: 'won';
  /** Version of the leader key at its creation. */
  term: number;
}

/** Outcome of an election. It is lost if another node was first or a request to the state store failed. */
export type ElectionResult = WonElection | { kind: 'lost' };

/** Receives the outcome of an election. */
export type ElectionCallback = (result: ElectionResult) => void;

/** Runs attempts to become leader, at most one at a time. */
export class Election {
  private isRunning = false;

  /** @param identity - distinguishes this process from earlier processes on the same host */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    private readonly identity: string,
  ) {}

  /** Whether an attempt has started and its outcome is not known yet. */
  get inProgress(): boolean {
    return this.isRunning;
  }

  private get timeoutMs(): number {
    return this.settings.leaderLeaseMs / 4;
  }

  /** Starts an attempt; does nothing while one is in progress. */
  start(done: ElectionCallback): void {
    if (this.isRunning) return;
    this.isRunning = true;
    const requestedAt = this.eventLoop.now();
    const finish: ElectionCallback = (result) => {
      this.isRunning = false;
      done(result);
    };
    this.client.grantLease(this.settings.leaderLeaseMs, this.timeoutMs, (result) => {
      if (result.kind === 'failed') finish({ kind: 'lost' });
      else this.createKey({ leaseId: result.value, requestedAt }, finish);
    });
  }

  private createKey(candidacy: Candidacy, finish: ElectionCallback): void {
    const { identity } = this;
    const { leaseId } = candidacy;
    const value = writeLeaderRecord({ host: this.settings.platform.host, identity, leaseId });
    this.client.budget.requestTokens.forceTake();
    this.client.transact(
      [{ key: LEADER_KEY, version: 0 }],
      [{ put: LEADER_KEY, value, lease: leaseId }],
      this.timeoutMs,
      (result) => this.createAnswered(candidacy, result, finish),
    );
  }

  private createAnswered(
    candidacy: Candidacy,
    result: TransactionResult,
    finish: ElectionCallback,
  ): void {
    if (result.kind === 'ok') finish({ kind: 'won', ...candidacy, term: result.revision });
    // The key may have been created; reading it shows whether it was.
    else if (result.kind === 'unknown') this.readKey(candidacy, finish);
    else this.lose(candidacy, finish);
  }

  private readKey(candidacy: Candidacy, finish: ElectionCallback): void {
    this.client.budget.requestTokens.forceTake();
    this.client.read(LEADER_KEY, this.timeoutMs, (result) => {
      const item = result.kind === 'ok' ? result.value : null;
      const leader = item === null ? null : readLeaderRecord(item.value, item.version);
      if (leader?.identity === this.identity && leader.leaseId === candidacy.leaseId)
        finish({ kind: 'won', ...candidacy, term: leader.term });
      else this.lose(candidacy, finish);
    });
  }

  private lose({ leaseId }: Candidacy, finish: ElectionCallback): void {
    this.client.revokeLease(leaseId, this.timeoutMs, () => undefined);
    finish({ kind: 'lost' });
  }
}
