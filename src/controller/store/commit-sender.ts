/** Sends the leader's commits, one at a time, and acts on their outcomes. */
import type { Write } from '../wire/state.js';
import type { TransactionResult } from './results.js';
import type { Commit } from './commit-builder.js';
import type { Page } from './page.js';
import type { StoredCallbacks } from './pending-writes.js';
import type { RecordStoreContext } from './record-store-context.js';
import type { PendingTransaction } from './transaction-queue.js';

/** How long nothing is sent after the service has refused a call, or not answered. */
const REFUSED_PAUSE_MS = 100;
const FAILED_PAUSE_MS = 20;

/** A page as it was sent: the keys that its copy contains. */
interface SentPage {
  page: Page;
  keys: Set<string>;
}

interface SentCommit extends Commit {
  sentPages: SentPage[];
  callbacks: StoredCallbacks;
}

/** What the owner of a sender wants to know. */
export interface CommitSenderHooks {
  /** Another leader holds the key `fenceKey`. */
  onFenced(): void;
  /** A commit was not carried out, or perhaps not; its parts are queued again. */
  onFailed(): void;
}

/** Sends commits and settles them: at most one commit, or read of a page, is in flight. */
export class CommitSender {
  inFlight = false;
  /** Nothing is to be sent before. */
  pauseUntil = 0;
  /** Puts and deletes sent. */
  writesSent = 0;
  private closed = false;

  constructor(
    private readonly context: RecordStoreContext,
    private readonly fenceKey: string,
    private readonly hooks: CommitSenderHooks,
  ) {}

  /** Outcomes count no more. */
  close(): void {
    this.closed = true;
  }

  private get timeoutMs(): number {
    return this.context.settings.leaderLeaseMs / 4;
  }

  /** Sends a commit; none may be in flight. */
  send(commit: Commit): void {
    const sequence = this.context.pages.nextSequence();
    const writes: Write[] = commit.pages.map((page) => ({
      put: page.key,
      value: this.context.pages.pageValue(page, sequence),
    }));
    const sentPages = commit.pages.map((page) => ({
      page,
      keys: new Set([...page.entries].map((entry) => entry.key)),
    }));
    for (const transaction of commit.transactions) writes.push(...transaction.writes);
    const callbacks = this.context.pending.markSent(commit.entries);
    const sent: SentCommit = { ...commit, sentPages, callbacks };
    this.writesSent += writes.length;
    this.context.client.budget.requestTokens.forceTake();
    this.inFlight = true;
    this.context.client.transact(commit.conditions, writes, this.timeoutMs, (result) => {
      this.inFlight = false;
      if (!this.closed) this.settle(sent, result);
    });
  }

  private settle(sent: SentCommit, result: TransactionResult): void {
    for (const entry of sent.entries) entry.inFlight = false;
    if (result.kind === 'ok') this.onCommitted(sent, result.revision);
    else if (result.kind === 'conflict' && result.failedKeys.includes(this.fenceKey))
      this.hooks.onFenced();
    else this.onFailed(sent, result);
  }

  private onCommitted(sent: SentCommit, revision: number): void {
    for (const { page, keys } of sent.sentPages)
      this.context.pages.markWritten(page, keys, revision);
    this.context.pending.markStored(sent.entries, sent.callbacks);
    for (const transaction of sent.transactions) transaction.done('ok');
  }

  private onFailed(sent: SentCommit, result: TransactionResult): void {
    const failedKeys = new Set(result.kind === 'conflict' ? result.failedKeys : []);
    for (const { page, keys } of sent.sentPages) {
      // After no response the same condition goes out again: of the two copies only one can win,
      // and if it is the first, the second fails on this page and the page is read.
      if (failedKeys.has(page.key)) page.versionUnknown = true;
      if (result.kind === 'unknown') this.context.pages.markPerhapsWritten(page, keys);
    }
    this.context.pending.putBack(sent.entries, sent.callbacks);
    this.settleTransactions(sent.transactions, failedKeys);
    this.hooks.onFailed();
    if (result.kind === 'conflict') return;
    const pauseMs = result.kind === 'refused' ? REFUSED_PAUSE_MS : FAILED_PAUSE_MS;
    this.pauseUntil = this.context.eventLoop.now() + pauseMs;
  }

  /** Those whose own conditions failed are over; the others go again, in their order. */
  private settleTransactions(transactions: PendingTransaction[], failedKeys: Set<string>): void {
    for (const transaction of transactions.reverse()) {
      const conflict = transaction.conditions.some(({ key }) => failedKeys.has(key));
      if (conflict) transaction.done('conflict');
      else this.context.transactions.unshift(transaction);
    }
  }

  /** Finds out which version of a page is stored, before it is written again. */
  rereadPage(page: Page): void {
    this.inFlight = true;
    this.context.client.budget.requestTokens.forceTake();
    this.context.client.read(page.key, this.timeoutMs, (result) => {
      this.inFlight = false;
      if (this.closed) return;
      if (result.kind === 'failed') {
        this.pauseUntil = this.context.eventLoop.now() + REFUSED_PAUSE_MS;
        return;
      }
      page.version = result.value?.version ?? 0;
      page.versionUnknown = false;
    });
  }
}
