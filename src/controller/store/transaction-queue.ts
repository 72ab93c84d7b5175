/** Transactions on keys that other nodes write too, in the order in which they were asked for. */
import type { Condition, Write } from '../wire/state.js';
import type { StateStoreClient } from './client.js';

/** Whether a transaction was carried out, or found one of its own conditions failed. */
export type TransactionOutcome = 'ok' | 'conflict';

/** Writes that are carried out all or none, if the conditions hold. */
export interface PendingTransaction {
  conditions: Condition[];
  writes: Write[];
  done: (outcome: TransactionOutcome) => void;
}

/** The queue; its writes count among those that this node has waiting (`StateClient.queued`). */
export class TransactionQueue {
  private readonly transactions: PendingTransaction[] = [];

  constructor(private readonly client: StateStoreClient) {}

  /** Transactions that wait. */
  get length(): number {
    return this.transactions.length;
  }

  /** The transaction that is next to be sent. */
  peek(): PendingTransaction | undefined {
    return this.transactions[0];
  }

  /** Queues a transaction behind all others. */
  push(transaction: PendingTransaction): void {
    this.transactions.push(transaction);
    this.client.queuedWrites += transaction.writes.length;
  }

  /** Removes the transaction that `peek` has given. */
  shift(): void {
    const transaction = this.transactions.shift();
    this.client.queuedWrites -= transaction?.writes.length ?? 0;
  }

  /** Puts a transaction that was not carried out before all others. */
  unshift(transaction: PendingTransaction): void {
    this.transactions.unshift(transaction);
    this.client.queuedWrites += transaction.writes.length;
  }

  /** Nothing will be sent any more. */
  close(): void {
    for (const { writes } of this.transactions) this.client.queuedWrites -= writes.length;
  }
}
