/** Users' cancellations: one transaction replaces a job's active record by its terminal record. */
import { tokenReserve } from '../store/rate-budget.js';
import type { ReadResult, TransactionResult } from '../store/results.js';
import { isJobId } from '../wire/jobs.js';
import type { KeyValue } from '../wire/state.js';
import { jobNotFound, type Respond } from './api-response.js';
import { CALL_TIMEOUT_MS, respondRetryLater, type FrontendContext } from './frontend-context.js';
import { activeKey, terminalKey, terminalRecord } from './job-records.js';
import type { RecordedStates } from './recorded-states.js';
import type { StatusQueries } from './status-queries.js';

/**
 * Maximum number of attempts to cancel a job before the user is asked to retry. An attempt fails if
 * the active record has changed since it was read, or was created after a read found none.
 */
const MAX_ATTEMPTS = 3;

/** A user's request to cancel a job. */
interface Cancellation {
  id: string;
  attemptsLeft: number;
  respond: Respond;
}

/** Cancels jobs. Cancelling is idempotent: for an ended job the response is its terminal state. */
export class Cancellations {
  constructor(
    private readonly context: FrontendContext,
    private readonly recordedStates: RecordedStates,
    private readonly statusQueries: StatusQueries,
  ) {}

  /** Cancels a job unless it has already ended, and responds with its terminal state. */
  cancel(id: string, respond: Respond): void {
    if (!isJobId(id)) return respond(jobNotFound());
    this.attempt({ id, attemptsLeft: MAX_ATTEMPTS, respond });
  }

  private attempt(cancellation: Cancellation): void {
    const { id, attemptsLeft, respond } = cancellation;
    const { jobStates, client } = this.context;
    const terminalState = jobStates.terminalState(id);
    if (terminalState !== undefined) return this.statusQueries.reply(id, terminalState, respond);
    if (client.health.isUnavailable || attemptsLeft === 0)
      return respondRetryLater(this.context, respond);
    const version = jobStates.activeVersion(id);
    if (version === undefined) this.readVersion(cancellation);
    else this.writeTerminalRecord(cancellation, version);
  }

  private retry(cancellation: Cancellation): void {
    this.attempt({ ...cancellation, attemptsLeft: cancellation.attemptsLeft - 1 });
  }

  private readVersion(cancellation: Cancellation): void {
    const { client } = this.context;
    if (!client.budget.requestTokens.tryTake(1, tokenReserve.submissions))
      return respondRetryLater(this.context, cancellation.respond);
    client.read(activeKey(cancellation.id), CALL_TIMEOUT_MS, (result) =>
      this.handleVersionRead(cancellation, result),
    );
  }

  private handleVersionRead(cancellation: Cancellation, result: ReadResult<KeyValue | null>): void {
    const { id, respond } = cancellation;
    if (result.kind === 'failed') return respondRetryLater(this.context, respond);
    if (result.value === null) return this.handleNotActive(cancellation);
    this.context.jobStates.setActiveVersion(id, result.value.version);
    this.attempt(cancellation);
  }

  /** Handles a missing active record: the job has ended, does not exist or is being accepted. */
  private handleNotActive(cancellation: Cancellation): void {
    const { id, respond } = cancellation;
    this.context.jobStates.forgetActive(id);
    this.recordedStates.query(id, (state) => {
      // The job was accepted between the read and the query.
      if (state === 'active') this.retry(cancellation);
      else this.statusQueries.reply(id, state, respond);
    });
  }

  private writeTerminalRecord(cancellation: Cancellation, version: number): void {
    const { id, respond } = cancellation;
    const { eventLoop, writes } = this.context;
    const endedAt = Math.round(eventLoop.runtime.wallClock());
    const queued = writes.add({
      conditions: [
        { key: activeKey(id), version },
        { key: terminalKey(id), version: 0 },
      ],
      writes: [
        { delete: activeKey(id) },
        { put: terminalKey(id), value: terminalRecord('cancelled', endedAt) },
      ],
      done: (result) => this.handleResult(cancellation, result),
    });
    if (!queued) respondRetryLater(this.context, respond);
  }

  private handleResult(cancellation: Cancellation, result: TransactionResult): void {
    const { id, respond } = cancellation;
    const { jobStates, hooks } = this.context;
    if (result.kind === 'ok') {
      jobStates.markTerminal(id, 'cancelled');
      hooks.onCancelled(id);
      this.statusQueries.reply(id, 'cancelled', respond);
    } else if (result.kind === 'conflict') {
      jobStates.forgetActive(id);
      this.retry(cancellation);
    } else {
      respondRetryLater(this.context, respond);
    }
  }
}
