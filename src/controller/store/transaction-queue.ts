/** Queue of the leader's transactions on keys that other nodes write too. */
import type { Logger } from '../runtime/runtime.js';
import type { Condition, Write } from '../wire/state.js';
import type { RateBudget } from './rate-budget.js';

/**
 * `ok`: the transaction was carried out. `conflict`: one of its own conditions did not hold. `too-large`: it exceeds
 * the limits of the state store, or has another fault, and was given up so that the others don't wait for it.
 */
export type TransactionOutcome = 'ok' | 'conflict' | 'too-large';

/** A compare-and-swap transaction that is waiting to be sent. */
export interface PendingTransaction {
  conditions: Condition[];
  writes: Write[];
  done: (outcome: TransactionOutcome) => void;
}

/** First-in, first-out queue. Its writes are included in the `queuedWrites` of the node's budget. */
export class TransactionQueue {
  /** Number of transactions that were given up, for the metrics. */
  givenUp = 0;
  private readonly transactions: PendingTransaction[] = [];

  constructor(
    private readonly budget: Pick<RateBudget, 'queuedWrites'>,
    private readonly log: Pick<Logger, 'warn'>,
  ) {}

  /** Number of queued transactions. */
  get length(): number {
    return this.transactions.length;
  }

  /** Returns the transaction at the front of the queue. */
  peek(): PendingTransaction | undefined {
    return this.transactions[0];
  }

  /** Adds a transaction at the back of the queue. */
  push(transaction: PendingTransaction): void {
    this.transactions.push(transaction);
    this.budget.queuedWrites += transaction.writes.length;
  }

  /** Removes the transaction at the front of the queue. */
  shift(): void {
    const transaction = this.transactions.shift();
    this.budget.queuedWrites -= transaction?.writes.length ?? 0;
  }

  /** Puts a transaction that was not carried out back at the front of the queue. */
  unshift(transaction: PendingTransaction): void {
    this.transactions.unshift(transaction);
    this.budget.queuedWrites += transaction.writes.length;
  }

  /** Gives up a transaction that is not in the queue, because the state store can't carry it out. */
  giveUp({ writes, done }: PendingTransaction): void {
    this.givenUp++;
    const keys = writes.map((write) => ('put' in write ? write.put : write.delete));
    this.log.warn({ keys }, 'transaction exceeds the limits of the state store; given up');
    done('too-large');
  }

  /** Removes the queued writes from the budget, because nothing more is sent. Must be called only once. */
  close(): void {
    for (const { writes } of this.transactions) this.budget.queuedWrites -= writes.length;
  }
}
