/** Sends the leader's commits, one at a time, and acts on their outcomes. */
import type { Write } from '../wire/state.js';
import type { Commit } from './commit-builder.js';
import { encodePage } from './page-codec.js';
import type { Page } from './page.js';
import type { StoredCallbacks } from './pending-writes.js';
import type { RecordStoreContext } from './record-store-context.js';
import type { TransactionResult } from './results.js';
import type { PendingTransaction } from './transaction-queue.js';

/** How long nothing is sent after the store has refused a call, and after no response. */
const REFUSED_PAUSE_MS = 100;
const FAILED_PAUSE_MS = 20;

/** Time-out of a commit or read, as a ratio of the leader's lease. */
const TIMEOUT_RATIO = 1 / 4;

/** A page as it was sent: the keys that its copy contains. */
interface SentPage {
  page: Page;
  keys: ReadonlySet<string>;
}

interface SentCommit extends Commit {
  sentPages: SentPage[];
  callbacks: StoredCallbacks;
}

/** What the owner of a sender is told. */
export interface CommitSenderHooks {
  /** Another leader holds the key `fencingKey`. */
  onFenced(): void;
  /** A commit was not carried out, or perhaps not; its parts are queued again. */
  onFailed(): void;
}

/** Sends commits and settles them: at most one commit, or read of a page, is in flight. */
export class CommitSender {
  inFlight = false;
  /** Nothing is to be sent before. */
  pauseUntil = 0;
  /** Puts and deletes sent so far. */
  writesSent = 0;
  private closed = false;

  constructor(
    private readonly context: RecordStoreContext,
    private readonly fencingKey: string,
    private readonly hooks: CommitSenderHooks,
  ) {}

  /** Ignores all outcomes from now on. */
  close(): void {
    this.closed = true;
  }

  private get timeoutMs(): number {
    return this.context.settings.leaderLeaseMs * TIMEOUT_RATIO;
  }

  /** Sends a commit; nothing may be in flight. */
  send(commit: Commit): void {
    const { client, pages, pending } = this.context;
    const sequence = pages.nextSequence();
    const writes: Write[] = commit.pages.map((page) => ({
      put: page.key,
      value: encodePage(page, sequence),
    }));
    for (const transaction of commit.transactions) writes.push(...transaction.writes);
    const sentPages = commit.pages.map((page) => ({ page, keys: keysOf(page) }));
    const sent: SentCommit = { ...commit, sentPages, callbacks: pending.markSent(commit.entries) };
    this.writesSent += writes.length;
    client.budget.requestTokens.forceTake();
    this.inFlight = true;
    client.transact(commit.conditions, writes, this.timeoutMs, (result) => {
      this.inFlight = false;
      if (!this.closed) this.settle(sent, result);
    });
  }

  private settle(sent: SentCommit, result: TransactionResult): void {
    for (const entry of sent.entries) entry.inFlight = false;
    if (result.kind === 'ok') this.onCommitted(sent, result.revision);
    else if (result.kind === 'conflict' && result.failedKeys.includes(this.fencingKey))
      this.hooks.onFenced();
    else this.onFailed(sent, result);
  }

  private onCommitted(sent: SentCommit, revision: number): void {
    const { pages, pending } = this.context;
    for (const { page, keys } of sent.sentPages) pages.markWritten(page, keys, revision);
    pending.markStored(sent.entries, sent.callbacks);
    for (const transaction of sent.transactions) transaction.done('ok');
  }

  private onFailed(sent: SentCommit, result: TransactionResult): void {
    const { pages, pending, eventLoop } = this.context;
    const failedKeys = new Set(result.kind === 'conflict' ? result.failedKeys : []);
    for (const { page, keys } of sent.sentPages) {
      // After no response the same condition is sent again: of the two copies only one can succeed,
      // and if it is the first, the second fails on this page and the page is read.
      if (failedKeys.has(page.key)) page.versionUnknown = true;
      if (result.kind === 'unknown') pages.markPossiblyWritten(page, keys);
    }
    pending.requeue(sent.entries, sent.callbacks);
    this.settleTransactions(sent.transactions, failedKeys);
    this.hooks.onFailed();
    if (result.kind === 'conflict') return;
    const pauseMs = result.kind === 'refused' ? REFUSED_PAUSE_MS : FAILED_PAUSE_MS;
    this.pauseUntil = eventLoop.now() + pauseMs;
  }

  /** Those whose own conditions failed are done; the others go again, in their order. */
  private settleTransactions(
    transactions: PendingTransaction[],
    failedKeys: ReadonlySet<string>,
  ): void {
    for (const transaction of transactions.reverse()) {
      const conditionFailed = transaction.conditions.some(({ key }) => failedKeys.has(key));
      if (conditionFailed) transaction.done('conflict');
      else this.context.transactions.unshift(transaction);
    }
  }

  /** Finds out which version of a page is stored, before it is written again. */
  rereadPage(page: Page): void {
    const { client, eventLoop } = this.context;
    this.inFlight = true;
    client.budget.requestTokens.forceTake();
    client.read(page.key, this.timeoutMs, (result) => {
      this.inFlight = false;
      if (this.closed) return;
      if (result.kind === 'failed') {
        this.pauseUntil = eventLoop.now() + REFUSED_PAUSE_MS;
        return;
      }
      page.version = result.value?.version ?? 0;
      page.versionUnknown = false;
    });
  }
}

function keysOf(page: Page): ReadonlySet<string> {
  const keys = new Set<string>();
  for (const entry of page.entries) keys.add(entry.key);
  return keys;
}
