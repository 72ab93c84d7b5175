/** Users' questions about the status of their jobs. */
import { isJobId, writeJobStatus, type JobStatus } from '../wire/jobs.js';
import { jobNotFound, type Respond } from './api-response.js';
import { respondRetryLater, type FrontendContext } from './frontend-context.js';
import type { RecordedState, RecordedStates } from './recorded-states.js';

/** Answers users with the status of jobs, as the state store confirms it. */
export class StatusQueries {
  constructor(
    private readonly context: FrontendContext,
    private readonly recordedStates: RecordedStates,
  ) {}

  /** Answers a user's question about a job. */
  poll(id: string, respond: Respond): void {
    if (!isJobId(id)) return respond(jobNotFound());
    this.recordedStates.query(id, (state) => this.reply(id, state, respond));
  }

  /** Responds with the status of a job that the state store has in this state. */
  reply(id: string, state: RecordedState, respond: Respond): void {
    if (state === 'unknown') return respondRetryLater(this.context, respond);
    if (state === 'absent') return respond(jobNotFound());
    const status = state === 'active' ? this.activeStatus(id) : { id, state };
    respond({ status: 200, body: writeJobStatus(status) });
  }

  /** The last progress of an active job. Progress that shows an end is not confirmed, and left out. */
  private activeStatus(id: string): JobStatus {
    const progress = this.context.hooks.progress(id);
    const active = progress?.state === 'queued' || progress?.state === 'running';
    return active ? progress : { id, state: 'queued' };
  }
}
