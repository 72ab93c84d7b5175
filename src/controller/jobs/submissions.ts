/** Users' submissions: judged, and put on record once however often they are repeated. */
import type { TransactionResult } from '../store/results.js';
import { storedSize } from '../store/page-table.js';
import { WireError } from '../wire/cbor.js';
import {
  readJobSpec,
  readJobId,
  writeJobStatus,
  writeJobSpec,
  type JobSpec,
} from '../wire/jobs.js';
import { admit } from './admission.js';
import {
  respondRetryLater,
  type ApiResponse,
  type FrontendContext,
  type Respond,
} from './frontend-context.js';
import { terminalKey, activeKey } from './job-records.js';
import type { StatusQueries } from './status-queries.js';

/** Users who wait for the outcome of the same submission. */
type Waiters = Respond[];

/** Accepts jobs. */
export class Submissions {
  /** Submissions that have not left yet, with all who wait for them. */
  private readonly queued = new Map<string, Waiters>();

  constructor(
    private readonly context: FrontendContext,
    private readonly queries: StatusQueries,
  ) {}

  /** Accepts a job, refuses it, or tells a user who repeats a submission what is current. */
  submit(body: unknown, respond: Respond): void {
    const spec = this.parse(body, respond);
    if (spec === null) return;
    const { known, settings, hooks } = this.context;
    const ended = known.terminalState(spec.id);
    if (ended !== undefined) return this.queries.reply(spec.id, ended, respond);
    const verdict = admit(spec, settings.platform.teams, hooks.machineTypes());
    if (typeof verdict === 'object')
      return this.refuse(spec.id, { status: 422, body: { error: verdict.refuse } }, respond);
    if (verdict !== 'accept' || known.isActive(spec.id)) {
      this.replyIfKnown(spec.id, respond, () => respondRetryLater(this.context, respond));
      return;
    }
    this.record(spec, respond);
  }

  /** Null: malformed, and refused. */
  private parse(body: unknown, respond: Respond): JobSpec | null {
    try {
      return readJobSpec(body);
    } catch (error) {
      if (!(error instanceof WireError)) throw error;
      this.context.eventLoop.log.debug({ reason: error.message, body }, 'malformed submission');
      this.refuse(readJobId(body), { status: 400, body: { error: error.message } }, respond);
      return null;
    }
  }

  /**
   * A job that is known already is recognised before it is judged: teams, machine types and what a
   * version takes for a submission may have changed since it was accepted.
   */
  private refuse(id: string | null, refusal: ApiResponse, respond: Respond): void {
    if (id === null) respond(refusal);
    else this.replyIfKnown(id, respond, () => respond(refusal));
  }

  private replyIfKnown(id: string, respond: Respond, absent: () => void): void {
    this.queries.query(id, (standing) => {
      if (standing === 'absent') absent();
      else this.queries.reply(id, standing, respond);
    });
  }

  private record(spec: JobSpec, respond: Respond): void {
    const { eventLoop, client } = this.context;
    const value = { job: writeJobSpec(spec), at: Math.round(eventLoop.runtime.wallClock()) };
    if (storedSize(value) > client.limits.maxValueBytes) {
      const refusal = { status: 400, body: { error: 'models: too many or too long' } };
      return this.refuse(spec.id, refusal, respond);
    }
    if (client.isUnavailable) return respondRetryLater(this.context, respond);
    const waiting = this.queued.get(spec.id);
    if (waiting !== undefined) waiting.push(respond);
    else this.create(spec.id, value, respond);
  }

  private create(id: string, value: unknown, respond: Respond): void {
    const waiters = [respond];
    const close = (): void => {
      if (this.queued.get(id) === waiters) this.queued.delete(id);
    };
    const added = this.context.writes.add({
      conditions: [
        { key: activeKey(id), version: 0 },
        { key: terminalKey(id), version: 0 },
      ],
      writes: [{ put: activeKey(id), value }],
      // A repeat that comes once the transaction has left may not share its answer: meanwhile the
      // user may have been told at another node that the job has ended.
      onSent: close,
      done: (result) => this.settle(id, result, waiters, close),
    });
    if (added) this.queued.set(id, waiters);
    else respondRetryLater(this.context, respond);
  }

  private settle(id: string, result: TransactionResult, waiters: Waiters, close: () => void): void {
    const answer = (each: (respond: Respond) => void): void => {
      close();
      for (const waiter of waiters) each(waiter);
    };
    if (result.kind === 'ok') {
      this.context.known.setActiveVersion(id, result.revision);
      this.context.hooks.onAccepted(id);
      const body = writeJobStatus({ id, state: 'queued' });
      answer((respond) => respond({ status: 201, body }));
    } else if (result.kind === 'conflict') {
      this.queries.resolveConflict(id, result.failedKeys, (standing) =>
        answer((respond) => this.queries.reply(id, standing, respond)),
      );
    } else answer((respond) => respondRetryLater(this.context, respond));
  }
}
