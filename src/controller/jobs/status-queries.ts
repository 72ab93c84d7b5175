/** Users' questions about jobs: what is current, confirmed by the state service. */
import { GroupCommit } from '../store/group-commit.js';
import { tokenReserve } from '../store/client.js';
import type { TransactionResult } from '../store/results.js';
import { isJobId, writeJobStatus, type TerminalState } from '../wire/jobs.js';
import type { Condition } from '../wire/state.js';
import {
  CALL_TIMEOUT_MS,
  jobNotFound,
  respondRetryLater,
  type FrontendContext,
  type Respond,
} from './frontend-context.js';
import { terminalKey, activeKey, readTerminalState } from './job-records.js';

/** What is current for a job at the state service. */
export type RecordedState = 'absent' | 'live' | TerminalState | 'unsure';

/** Told what is current for a job. */
export type RecordedStateCallback = (standing: RecordedState) => void;

/** Transactions of questions that are sent in each report interval, at most. */
const QUERIES_PER_REPORT = 25;

/** Finds out and answers what is current, many jobs in one transaction that only compares. */
export class StatusQueries {
  /** Questions whether jobs that are known to have been accepted have ended. */
  private readonly knownQueries: GroupCommit;
  /** Questions about jobs that this node has not heard of. */
  private readonly unknownQueries: GroupCommit;
  /** Questions that have not left yet, with all who wait for their answers. */
  private readonly queued = new Map<string, RecordedStateCallback[]>();

  constructor(private readonly context: FrontendContext) {
    const { eventLoop, client, settings } = context;
    const options = {
      timeoutMs: CALL_TIMEOUT_MS,
      maxQueueMs: CALL_TIMEOUT_MS,
      tokenReserve: tokenReserve.polls,
      minIntervalMs: settings.heartbeatIntervalMs / QUERIES_PER_REPORT,
    };
    this.knownQueries = new GroupCommit(eventLoop, client, options);
    this.unknownQueries = new GroupCommit(eventLoop, client, options);
  }

  /** Answers a user's question about a job. */
  poll(id: string, respond: Respond): void {
    if (!isJobId(id)) return respond(jobNotFound());
    this.query(id, (standing) => this.reply(id, standing, respond));
  }

  /** The response about a job of which this is current. */
  reply(id: string, standing: RecordedState, respond: Respond): void {
    if (standing === 'unsure') return respondRetryLater(this.context, respond);
    if (standing === 'absent') return respond(jobNotFound());
    if (standing !== 'live')
      return respond({ status: 200, body: writeJobStatus({ id, state: standing }) });
    const progress = this.context.hooks.progress(id);
    const open = progress !== null && (progress.state === 'queued' || progress.state === 'running');
    respond({ status: 200, body: writeJobStatus(open ? progress : { id, state: 'queued' }) });
  }

  /** Finds out what is current for a job. */
  query(id: string, done: RecordedStateCallback): void {
    const ended = this.context.known.terminalState(id);
    if (ended !== undefined) return done(ended);
    if (this.context.client.isUnavailable) return done('unsure');
    const waiting = this.queued.get(id);
    if (waiting !== undefined) waiting.push(done);
    else this.send(id, done);
  }

  private send(id: string, done: RecordedStateCallback): void {
    const waiters = [done];
    const close = (): void => {
      if (this.queued.get(id) === waiters) this.queued.delete(id);
    };
    const settle = (standing: RecordedState): void => {
      close();
      for (const waiter of waiters) waiter(standing);
    };
    const known = this.context.known.isActive(id);
    const conditions: Condition[] = [{ key: terminalKey(id), version: 0 }];
    if (!known) conditions.push({ key: activeKey(id), version: 0 });
    const added = (known ? this.knownQueries : this.unknownQueries).add({
      conditions,
      writes: [],
      // Only a question that has not left may be shared: one on its way may find the state from
      // before an answer that this user got elsewhere meanwhile.
      onSent: close,
      done: (result) => this.answered(id, known, result, settle),
    });
    if (added) this.queued.set(id, waiters);
    else done('unsure');
  }

  private answered(
    id: string,
    known: boolean,
    result: TransactionResult,
    settle: RecordedStateCallback,
  ): void {
    if (result.kind === 'ok') settle(known ? 'live' : 'absent');
    else if (result.kind === 'conflict') this.resolveConflict(id, result.failedKeys, settle);
    else settle('unsure');
  }

  /** What failed conditions tell. A job's live and final records never exist together. */
  resolveConflict(id: string, failedKeys: readonly string[], done: RecordedStateCallback): void {
    if (failedKeys.includes(terminalKey(id))) {
      this.readTerminal(id, (state) => done(state ?? 'unsure'));
      return;
    }
    if (!failedKeys.includes(activeKey(id))) return done('unsure');
    this.context.known.markActive(id);
    done('live');
  }

  private readTerminal(id: string, done: (state: TerminalState | null) => void): void {
    const { client, known } = this.context;
    if (!client.requestTokens.tryTake(1, tokenReserve.reads)) return done(null);
    client.read(terminalKey(id), CALL_TIMEOUT_MS, (got) => {
      const state =
        got.kind === 'ok' && got.value !== null ? readTerminalState(got.value.value) : null;
      if (state !== null) known.markTerminal(id, state);
      done(state);
    });
  }
}
