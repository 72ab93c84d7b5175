/** Queries the state store for the current states of single jobs. */
import { tokenReserve } from '../store/rate-budget.js';
import { GroupCommit } from '../store/group-commit.js';
import type { TransactionResult } from '../store/results.js';
import type { TerminalState } from '../wire/jobs.js';
import type { Condition } from '../wire/state.js';
import { CALL_TIMEOUT_MS, type FrontendContext } from './frontend-context.js';
import { activeKey, terminalKey } from './job-records.js';
import { SharedRequests } from './shared-requests.js';
import { TerminalStateReads } from './terminal-state-reads.js';

/**
 * State of a job according to the state store. `absent`: the job was never accepted; `unknown`: the
 * state store has not answered.
 */
export type RecordedState = 'absent' | 'active' | TerminalState | 'unknown';

/** Receives the recorded state of a job. Called once. */
export type RecordedStateCallback = (state: RecordedState) => void;

/**
 * Maximum number of query transactions per heartbeat interval. It applies separately to active jobs
 * and to all other jobs. Full transactions are sent without regard to this maximum.
 */
const QUERIES_PER_HEARTBEAT = 25;

/**
 * Queries the state store for the states of jobs. One transaction, which only compares versions,
 * serves many queries. A job that is known to be active takes one comparison and any other job
 * takes two, so the two kinds are sent in separate transactions.
 */
export class RecordedStates {
  /** Queries for jobs that this node knows to be active. */
  private readonly activeJobQueries: GroupCommit;
  /** Queries for all other jobs. */
  private readonly otherJobQueries: GroupCommit;
  private readonly terminalStateReads: TerminalStateReads;
  private readonly sharedRequests = new SharedRequests<RecordedStateCallback>();

  constructor(private readonly context: FrontendContext) {
    const { eventLoop, client, settings } = context;
    this.terminalStateReads = new TerminalStateReads(context);
    const options = {
      timeoutMs: CALL_TIMEOUT_MS,
      maxQueueMs: CALL_TIMEOUT_MS,
      tokenReserve: tokenReserve.polls,
      minIntervalMs: settings.heartbeatIntervalMs / QUERIES_PER_HEARTBEAT,
    };
    this.activeJobQueries = new GroupCommit(eventLoop, client, options);
    this.otherJobQueries = new GroupCommit(eventLoop, client, options);
  }

  /** Looks up the job's state: a known terminal state in memory, any other in the state store. */
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

  /**
   * Determines the state of a job from the result of its query.
   *
   * @param stateIfUnchanged - the state of the job if all conditions of the query hold
   */
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
   * Determines the state of a job after a transaction failed because a record existed that had to
   * be absent. The active and the terminal record of a job never exist together (invariant 3).
   */
  resolveConflict(id: string, failedKeys: readonly string[], done: RecordedStateCallback): void {
    if (failedKeys.includes(terminalKey(id)))
      return this.terminalStateReads.read(id, (state) => done(state ?? 'unknown'));
    if (!failedKeys.includes(activeKey(id))) return done('unknown');
    this.context.jobStates.markActive(id);
    done('active');
  }
}
