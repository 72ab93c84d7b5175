/** Users' submissions: validation of jobs, and recording of each job only once. */
import { storedSize } from '../store/page.js';
import type { TransactionResult } from '../store/results.js';
import { WireError } from '../wire/fields.js';
import { readJobId, readJobSpec, writeJobStatus, type JobSpec } from '../wire/jobs.js';
import { admit } from './admission.js';
import type { ApiResponse, Respond } from './api-response.js';
import { respondRetryLater, type FrontendContext } from './frontend-context.js';
import { activeKey, activeRecord, terminalKey } from './job-records.js';
import type { RecordedState, RecordedStates } from './recorded-states.js';
import { SharedRequests, type SharedRequest } from './shared-requests.js';
import type { StatusQueries } from './status-queries.js';

/**
 * Accepts jobs. Submissions are idempotent: a repeated submission is answered with the job's
 * status.
 */
export class Submissions {
  private readonly sharedRequests = new SharedRequests<Respond>();

  constructor(
    private readonly context: FrontendContext,
    private readonly recordedStates: RecordedStates,
    private readonly statusQueries: StatusQueries,
  ) {}

  /** Accepts or refuses a job, or answers a repeated submission with the job's status. */
  submit(body: unknown, respond: Respond): void {
    let spec: JobSpec;
    try {
      spec = readJobSpec(body);
    } catch (error) {
      if (!(error instanceof WireError)) throw error;
      this.refuseMalformed(body, error, respond);
      return;
    }
    this.submitSpec(spec, respond);
  }

  private refuseMalformed(body: unknown, { message }: WireError, respond: Respond): void {
    this.context.eventLoop.log.debug({ reason: message, body }, 'malformed submission');
    const refusal = { status: 400, body: { error: message } };
    const id = readJobId(body);
    if (id === null) respond(refusal);
    else this.refuse(id, refusal, respond);
  }

  private submitSpec(spec: JobSpec, respond: Respond): void {
    const { jobStates, settings, hooks } = this.context;
    const { id } = spec;
    const terminalState = jobStates.terminalState(id);
    if (terminalState !== undefined) return this.statusQueries.reply(id, terminalState, respond);
    const admission = admit(spec, settings.platform.teams, hooks.machineTypes());
    if (admission.kind === 'refused')
      this.refuse(id, { status: 422, body: { error: admission.reason } }, respond);
    else if (admission.kind === 'undecided' || jobStates.isActive(id))
      this.replyUnlessAbsent(id, respond, () => respondRetryLater(this.context, respond));
    else this.recordJob(spec, respond);
  }

  /**
   * Refuses a submission, unless its job was accepted before. An accepted job is answered with its
   * status, since teams, machine types or the validation rules may have changed after its
   * acceptance.
   */
  private refuse(id: string, refusal: ApiResponse, respond: Respond): void {
    this.replyUnlessAbsent(id, respond, () => respond(refusal));
  }

  private replyUnlessAbsent(id: string, respond: Respond, onAbsent: () => void): void {
    this.recordedStates.query(id, (state) => {
      if (state === 'absent') onAbsent();
      else this.statusQueries.reply(id, state, respond);
    });
  }

  private recordJob(spec: JobSpec, respond: Respond): void {
    const { eventLoop, client } = this.context;
    const value = activeRecord(spec, Math.round(eventLoop.runtime.wallClock()));
    if (storedSize(value) > client.budget.limits.maxValueSize) {
      const refusal = { status: 400, body: { error: 'models: too many or too long' } };
      return this.refuse(spec.id, refusal, respond);
    }
    if (client.health.isUnavailable) return respondRetryLater(this.context, respond);
    if (!this.sharedRequests.join(spec.id, respond)) this.createRecord(spec.id, value, respond);
  }

  private createRecord(id: string, value: unknown, respond: Respond): void {
    const request = this.sharedRequests.create(id, respond);
    const queued = this.context.writes.add({
      conditions: [
        { key: activeKey(id), version: 0 },
        { key: terminalKey(id), version: 0 },
      ],
      writes: [{ put: activeKey(id), value }],
      onSent: () => request.seal(),
      done: (result) => this.handleResult(id, result, request),
    });
    if (queued) request.open();
    else respondRetryLater(this.context, respond);
  }

  private handleResult(
    id: string,
    result: TransactionResult,
    request: SharedRequest<Respond>,
  ): void {
    if (result.kind === 'ok') this.handleAccepted(id, result.revision, request);
    else if (result.kind === 'conflict')
      this.recordedStates.resolveConflict(id, result.failedKeys, (state) =>
        this.replyToAll(id, state, request),
      );
    else this.replyToAll(id, 'unknown', request);
  }

  private handleAccepted(id: string, version: number, request: SharedRequest<Respond>): void {
    this.context.jobStates.setActiveVersion(id, version);
    this.context.hooks.onAccepted(id);
    const body = writeJobStatus({ id, state: 'queued' });
    request.seal();
    for (const respond of request.waiters) respond({ status: 201, body });
  }

  private replyToAll(id: string, state: RecordedState, request: SharedRequest<Respond>): void {
    request.seal();
    for (const respond of request.waiters) this.statusQueries.reply(id, state, respond);
  }
}
