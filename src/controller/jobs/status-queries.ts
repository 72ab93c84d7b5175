/** Users' queries for the status of jobs. */
import { isJobId, writeJobStatus, type JobStatus } from '../wire/jobs.js';
import { jobNotFound, type Respond } from './api-response.js';
import { respondRetryLater, type FrontendContext } from './frontend-context.js';
import type { RecordedState, RecordedStates } from './recorded-states.js';

/** Answers status queries with the state that the state store has confirmed. */
export class StatusQueries {
  constructor(
    private readonly context: FrontendContext,
    private readonly recordedStates: RecordedStates,
  ) {}

  /** Answers a user's query for the status of a job. */
  poll(id: string, respond: Respond): void {
    if (!isJobId(id)) return respond(jobNotFound());
    this.recordedStates.query(id, (state) => this.reply(id, state, respond));
  }

  /** Responds with the status of a job that has this recorded state. */
  reply(id: string, state: RecordedState, respond: Respond): void {
    if (state === 'unknown') return respondRetryLater(this.context, respond);
    if (state === 'absent') return respond(jobNotFound());
    const status = state === 'active' ? this.activeStatus(id) : { id, state };
    respond({ status: 200, body: writeJobStatus(status) });
  }

  /**
   * Returns the last known progress of an active job. Progress with a terminal state is ignored,
   * since the state store has not confirmed that the job has ended.
   */
  private activeStatus(id: string): JobStatus {
    const progress = this.context.hooks.progress(id);
    const active = progress?.state === 'queued' || progress?.state === 'running';
    return active ? progress : { id, state: 'queued' };
  }
}
