/** The user API of a controller: submissions, status queries and cancellations. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { tokenReserve } from '../store/rate-budget.js';
import { GroupCommit } from '../store/group-commit.js';
import type { TerminalState } from '../wire/jobs.js';
import type { Respond } from './api-response.js';
import { Cancellations } from './cancellations.js';
import { CALL_TIMEOUT_MS, type FrontendHooks } from './frontend-context.js';
import { JobStateCache } from './job-state-cache.js';
import { RecordedStates } from './recorded-states.js';
import { StatusQueries } from './status-queries.js';
import { Submissions } from './submissions.js';

/**
 * Handles users' requests in the same way on the leader and on all other nodes. A terminal state
 * never changes, so it is answered from memory. Every other state, including that a job does not
 * exist, must first be confirmed by the state store, since another node may already have reported a
 * newer state to the user (invariant 3).
 */
export class Frontend {
  private readonly jobStates: JobStateCache;
  private readonly statusQueries: StatusQueries;
  private readonly submissions: Submissions;
  private readonly cancellations: Cancellations;

  constructor(
    eventLoop: EventLoop,
    settings: Settings,
    client: StateStoreClient,
    hooks: FrontendHooks,
  ) {
    this.jobStates = new JobStateCache(settings.get('jobs.final.cache'));
    const writes = new GroupCommit(eventLoop, client, {
      timeoutMs: CALL_TIMEOUT_MS,
      maxQueueMs: CALL_TIMEOUT_MS,
      tokenReserve: tokenReserve.submissions,
      minIntervalMs: 0,
    });
    const context = { eventLoop, settings, client, hooks, jobStates: this.jobStates, writes };
    const recordedStates = new RecordedStates(context);
    this.statusQueries = new StatusQueries(context, recordedStates);
    this.submissions = new Submissions(context, recordedStates, this.statusQueries);
    this.cancellations = new Cancellations(context, recordedStates, this.statusQueries);
  }

  /** Remembers a job that another controller has accepted, unless it is known to have ended. */
  markAccepted(id: string): void {
    if (this.jobStates.terminalState(id) === undefined) this.jobStates.markActive(id);
  }

  /** Returns the job's terminal state, or null if this node does not know one. */
  terminalState(id: string): TerminalState | null {
    return this.jobStates.terminalState(id) ?? null;
  }

  /** Remembers a job's terminal state, reported by another controller or by this node as leader. */
  markTerminal(id: string, state: TerminalState): void {
    this.jobStates.markTerminal(id, state);
  }

  /** Handles a submission, whose body is already decoded. */
  submit(body: unknown, respond: Respond): void {
    this.submissions.submit(body, respond);
  }

  /** Responds with a job's status. */
  poll(id: string, respond: Respond): void {
    this.statusQueries.poll(id, respond);
  }

  /** Cancels a job, and responds with its terminal state. */
  cancel(id: string, respond: Respond): void {
    this.cancellations.cancel(id, respond);
  }
}
