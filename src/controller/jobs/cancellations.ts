/** Users' cancellations: a job ends by one transaction on its live and its final record. */
import { tokenReserve } from '../store/client.js';
import type { ReadResult, TransactionResult } from '../store/results.js';
import { isJobId } from '../wire/jobs.js';
import type { KeyValue } from '../wire/state.js';
import {
  CALL_TIMEOUT_MS,
  jobNotFound,
  respondRetryLater,
  type FrontendContext,
  type Respond,
} from './frontend-context.js';
import { terminalKey, terminalRecord, activeKey } from './job-records.js';
import type { StatusQueries } from './status-queries.js';

/** How often the version of a job's live record may prove outdated before the user has to retry. */
const MAX_ATTEMPTS = 3;

/** One user's cancellation of a job. */
interface Cancellation {
  id: string;
  attemptsLeft: number;
  respond: Respond;
}

/** Cancels jobs. */
export class Cancellations {
  constructor(
    private readonly context: FrontendContext,
    private readonly queries: StatusQueries,
  ) {}

  /** Ends a job that has not ended, and tells how it ended. */
  cancel(id: string, respond: Respond): void {
    if (!isJobId(id)) return respond(jobNotFound());
    this.attempt({ id, attemptsLeft: MAX_ATTEMPTS, respond });
  }

  private attempt(cancellation: Cancellation): void {
    const { id, attemptsLeft, respond } = cancellation;
    const { known, client } = this.context;
    const ended = known.terminalState(id);
    if (ended !== undefined) return this.queries.reply(id, ended, respond);
    if (client.isUnavailable || attemptsLeft === 0) return respondRetryLater(this.context, respond);
    const version = known.activeVersion(id);
    if (version === undefined) this.readVersion(cancellation);
    else this.write(cancellation, version);
  }

  private retry(cancellation: Cancellation): void {
    this.attempt({ ...cancellation, attemptsLeft: cancellation.attemptsLeft - 1 });
  }

  private readVersion(cancellation: Cancellation): void {
    const { id, respond } = cancellation;
    const { client } = this.context;
    if (!client.requestTokens.tryTake(1, tokenReserve.submissions))
      return respondRetryLater(this.context, respond);
    client.read(activeKey(id), CALL_TIMEOUT_MS, (got) => this.versionRead(cancellation, got));
  }

  private versionRead(cancellation: Cancellation, got: ReadResult<KeyValue | null>): void {
    const { id, respond } = cancellation;
    if (got.kind === 'failed') return respondRetryLater(this.context, respond);
    if (got.value !== null) {
      this.context.known.setActiveVersion(id, got.value.version);
      return this.attempt(cancellation);
    }
    this.context.known.forgetActive(id);
    this.queries.query(id, (standing) => {
      // Accepted between the two questions: look again.
      if (standing === 'live') this.retry(cancellation);
      else this.queries.reply(id, standing, respond);
    });
  }

  private write(cancellation: Cancellation, version: number): void {
    const { id, respond } = cancellation;
    const { eventLoop, writes } = this.context;
    const added = writes.add({
      conditions: [
        { key: activeKey(id), version },
        { key: terminalKey(id), version: 0 },
      ],
      writes: [
        { delete: activeKey(id) },
        {
          put: terminalKey(id),
          value: terminalRecord('cancelled', Math.round(eventLoop.runtime.wallClock())),
        },
      ],
      done: (result) => this.settle(cancellation, result),
    });
    if (!added) respondRetryLater(this.context, respond);
  }

  private settle(cancellation: Cancellation, result: TransactionResult): void {
    const { id, respond } = cancellation;
    const { known, hooks } = this.context;
    if (result.kind === 'ok') {
      known.markTerminal(id, 'cancelled');
      hooks.onCancelled(id);
      this.queries.reply(id, 'cancelled', respond);
    } else if (result.kind === 'conflict') {
      known.forgetActive(id);
      this.retry(cancellation);
    } else respondRetryLater(this.context, respond);
  }
}
