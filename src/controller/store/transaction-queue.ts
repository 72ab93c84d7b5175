/** The leader's transactions on keys that other nodes write too, in the order of their requests. */
import type { Condition, Write } from '../wire/state.js';
import type { RateBudget } from './rate-budget.js';

/** Whether a transaction was carried out, or one of its own conditions did not hold. */
export type TransactionOutcome = 'ok' | 'conflict';

/** A compare-and-swap transaction that waits to be sent. */
export interface PendingTransaction {
  conditions: Condition[];
  writes: Write[];
  done: (outcome: TransactionOutcome) => void;
}

/** First-in, first-out queue; its writes count as queued in the node's budget. */
export class TransactionQueue {
  private readonly transactions: PendingTransaction[] = [];

  constructor(private readonly budget: Pick<RateBudget, 'queuedWrites'>) {}

  /** Number of transactions that wait. */
  get length(): number {
    return this.transactions.length;
  }

  /** The transaction that is next to be sent. */
  peek(): PendingTransaction | undefined {
    return this.transactions[0];
  }

  /** Adds a transaction behind all others. */
  push(transaction: PendingTransaction): void {
    this.transactions.push(transaction);
    this.budget.queuedWrites += transaction.writes.length;
  }

  /** Removes the transaction that `peek` has returned. */
  shift(): void {
    const transaction = this.transactions.shift();
    this.budget.queuedWrites -= transaction?.writes.length ?? 0;
  }

  /** Puts a transaction that was not carried out before all others. */
  unshift(transaction: PendingTransaction): void {
    this.transactions.unshift(transaction);
    this.budget.queuedWrites += transaction.writes.length;
  }

  /** Nothing is sent any more: the queued writes leave the budget. To be called once. */
  close(): void {
    for (const { writes } of this.transactions) this.budget.queuedWrites -= writes.length;
  }
}
