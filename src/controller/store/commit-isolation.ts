/**
 * Finds the part of a commit that the state store refuses for its size, by sending the parts one by one, so that
 * the other parts are carried out.
 */

/** What the next commit may contain. */
export type CommitScope = 'everything' | 'one-transaction' | 'one-page';

/** Counts the parts of a refused commit that still have to be sent on their own: transactions, then pages. */
export class CommitIsolation {
  private transactionsLeft = 0;
  private pagesLeft = 0;

  /** What the next commit may contain. */
  get scope(): CommitScope {
    if (this.transactionsLeft > 0) return 'one-transaction';
    return this.pagesLeft > 0 ? 'one-page' : 'everything';
  }

  /** Begins to send the parts of a refused commit one by one. */
  begin(transactions: number, pages: number): void {
    this.transactionsLeft = transactions;
    this.pagesLeft = pages;
  }

  /** Records that a part was sent on its own and needs no other try. */
  partSettled(): void {
    if (this.transactionsLeft > 0) this.transactionsLeft--;
    else if (this.pagesLeft > 0) this.pagesLeft--;
  }

  /** Allows commits of several parts again, because nothing of the kind in `scope` is left to send. */
  end(): void {
    this.begin(0, 0);
  }
}
