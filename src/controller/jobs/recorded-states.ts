/** The state of single jobs as the state store has it at this time. */
import { tokenReserve } from '../store/rate-budget.js';
import { GroupCommit } from '../store/group-commit.js';
import type { TransactionResult } from '../store/results.js';
import type { TerminalState } from '../wire/jobs.js';
import type { Condition } from '../wire/state.js';
import { CALL_TIMEOUT_MS, type FrontendContext } from './frontend-context.js';
import { activeKey, terminalKey, terminalStateIn } from './job-records.js';
import { SharedRequests } from './shared-requests.js';

/**
 * What the state store has of a job. `absent`: it was never accepted; `unknown`: the state store
 * has not told.
 */
export type RecordedState = 'absent' | 'active' | TerminalState | 'unknown';

/** Receives what the state store has of a job; called once. */
export type RecordedStateCallback = (state: RecordedState) => void;

/** Transactions of each kind that are sent in a heartbeat interval, at most, unless they are full. */
const QUERIES_PER_HEARTBEAT = 25;

/**
 * Queries the state store for the states of jobs, many in one transaction that only compares
 * versions. A job that is known as active needs one comparison, any other two: so the two kinds
 * have transactions of their own.
 */
export class RecordedStates {
  private readonly activeJobQueries: GroupCommit;
  private readonly otherJobQueries: GroupCommit;
  private readonly sharedRequests = new SharedRequests<RecordedStateCallback>();

  constructor(private readonly context: FrontendContext) {
    const { eventLoop, client, settings } = context;
    const options = {
      timeoutMs: CALL_TIMEOUT_MS,
      maxQueueMs: CALL_TIMEOUT_MS,
      tokenReserve: tokenReserve.polls,
      minIntervalMs: settings.heartbeatIntervalMs / QUERIES_PER_HEARTBEAT,
    };
    this.activeJobQueries = new GroupCommit(eventLoop, client, options);
    this.otherJobQueries = new GroupCommit(eventLoop, client, options);
  }

  /** Finds out the job's state: a terminal one from memory, any other from the state store. */
  query(id: string, done: RecordedStateCallback): void {
    const { jobStates, client } = this.context;
    const terminalState = jobStates.terminalState(id);
    if (terminalState !== undefined) return done(terminalState);
    if (client.health.isUnavailable) return done('unknown');
    if (!this.sharedRequests.join(id, done)) this.enqueue(id, done);
  }

  private enqueue(id: string, done: RecordedStateCallback): void {
    const request = this.sharedRequests.create(id, done);
    const settleRequest = (state: RecordedState): void => {
      request.seal();
      for (const waiter of request.waiters) waiter(state);
    };
    const isActive = this.context.jobStates.isActive(id);
    const conditions: Condition[] = [{ key: terminalKey(id), version: 0 }];
    if (!isActive) conditions.push({ key: activeKey(id), version: 0 });
    const queued = (isActive ? this.activeJobQueries : this.otherJobQueries).add({
      conditions,
      writes: [],
      onSent: () => request.seal(),
      done: (result) => this.resolve(id, isActive ? 'active' : 'absent', result, settleRequest),
    });
    if (queued) request.open();
    else done('unknown');
  }

  /** @param stateIfUnchanged - the state of a job for which all conditions hold */
  private resolve(
    id: string,
    stateIfUnchanged: RecordedState,
    result: TransactionResult,
    done: RecordedStateCallback,
  ): void {
    if (result.kind === 'ok') done(stateIfUnchanged);
    else if (result.kind === 'conflict') this.resolveConflict(id, result.failedKeys, done);
    else done('unknown');
  }

  /**
   * Finds out the state of a job for which a transaction found records that it expected not to
   * exist. The active and the terminal record of a job never exist together.
   */
  resolveConflict(id: string, failedKeys: readonly string[], done: RecordedStateCallback): void {
    if (failedKeys.includes(terminalKey(id))) return this.readTerminalState(id, done);
    if (!failedKeys.includes(activeKey(id))) return done('unknown');
    this.context.jobStates.markActive(id);
    done('active');
  }

  private readTerminalState(id: string, done: RecordedStateCallback): void {
    const { client, jobStates } = this.context;
    if (!client.budget.requestTokens.tryTake(1, tokenReserve.reads)) return done('unknown');
    client.read(terminalKey(id), CALL_TIMEOUT_MS, (result) => {
      const state = terminalStateIn(result);
      if (state !== null) jobStates.markTerminal(id, state);
      done(state ?? 'unknown');
    });
  }
}
