/** Sends the leader's commits, one at a time, and acts on their outcomes. */
import type { Write } from '../wire/state.js';
import type { Commit } from './commit-builder.js';
import { encodePage } from './page-codec.js';
import type { Page } from './page.js';
import type { StoredCallbacks } from './pending-writes.js';
import type { RecordStoreContext } from './record-store-context.js';
import type { TransactionResult } from './results.js';
import type { PendingTransaction } from './transaction-queue.js';

/** Pause in milliseconds after a refused commit or a failed read. */
const REFUSED_PAUSE_MS = 100;
/**
 * Pause in milliseconds after a commit that failed for a reason other than a refusal or a conflict. After a
 * conflict there is no pause.
 */
const FAILED_PAUSE_MS = 20;

/** Time-out of a commit or a read, as a ratio to the leader's lease. */
const TIMEOUT_RATIO = 1 / 4;

/** A page that was sent, and the keys that the sent copy contains. */
interface SentPage {
  page: Page;
  keys: ReadonlySet<string>;
}

interface SentCommit extends Commit {
  sentPages: SentPage[];
  callbacks: StoredCallbacks;
}

/** Callbacks to the owner of a sender. */
export interface CommitSenderHooks {
  /** Called when the condition on the leader key has failed, so this leader has lost the key. */
  onFenced(): void;
  /** Called after a commit that failed or may have failed. Its contents have been queued again. */
  onFailed(): void;
}

/** Sends commits and handles their results. At most one commit or read of a page is in flight. */
export class CommitSender {
  inFlight = false;
  /** Time before which nothing may be sent. */
  pauseUntil = 0;
  /** Number of puts and deletes sent so far. */
  writesSent = 0;
  private closed = false;

  constructor(
    private readonly context: RecordStoreContext,
    private readonly fencingKey: string,
    private readonly hooks: CommitSenderHooks,
  ) {}

  /** Ignores all results from now on. */
  close(): void {
    this.closed = true;
  }

  private get timeoutMs(): number {
    return this.context.settings.leaderLeaseMs * TIMEOUT_RATIO;
  }

  /** Sends a commit. The caller ensures that nothing is in flight. */
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
    this.context.isolation.partSettled();
    for (const transaction of sent.transactions) transaction.done('ok');
  }

  private onFailed(sent: SentCommit, result: TransactionResult): void {
    const { pages, pending, eventLoop } = this.context;
    const failedKeys = new Set(result.kind === 'conflict' ? result.failedKeys : []);
    for (const { page, keys } of sent.sentPages) {
      // After a write without a response, the page is sent again on condition of the same version, so that
      // only one of the two writes can succeed. If the first did, the second fails and the page is reread.
      if (failedKeys.has(page.key)) page.versionUnknown = true;
      if (result.kind === 'unknown') pages.markPossiblyWritten(page, keys);
    }
    pending.requeue(sent.entries, sent.callbacks);
    if (result.kind === 'too-large') this.handleTooLarge(sent);
    else this.settleTransactions(sent.transactions, failedKeys);
    this.hooks.onFailed();
    if (result.kind === 'conflict') return;
    const pauseMs = result.kind === 'refused' ? REFUSED_PAUSE_MS : FAILED_PAUSE_MS;
    this.pauseUntil = eventLoop.now() + pauseMs;
  }

  /**
   * Handles a refusal for size. The parts of the commit are sent one by one. A part that is refused on its own
   * is given up, so that it never holds up the others: a transaction at once, a page once it is as small as it
   * can be. The limits that a refusal lowers make the next page smaller.
   */
  private handleTooLarge({ entries, pages, transactions }: SentCommit): void {
    const { isolation, transactions: queue, pending, client, eventLoop } = this.context;
    if (pages.length + transactions.length > 1) {
      isolation.begin(transactions.length, pages.length);
      for (const transaction of transactions.reverse()) queue.unshift(transaction);
      return;
    }
    for (const transaction of transactions) queue.giveUp(transaction);
    if (pages.length > 0) {
      if (entries.length > 1 && !client.budget.limits.sizesAreLowest) return;
      for (const entry of entries) pending.remove(entry);
      const keys = entries.map(({ key }) => key);
      eventLoop.log.warn({ keys }, 'state store refuses these records; not written');
    }
    isolation.partSettled();
  }

  /** Reports a conflict to transactions whose own conditions failed. Queues the others again, in order. */
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

  /** Reads the stored version of a page, which is needed before it can be written again. */
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
