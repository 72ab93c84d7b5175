/** The users' side of a controller: submissions, status queries and cancellations. */
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
 * The users' side, the same on every node. A terminal state never changes and is answered from
 * memory. Anything else, a 404 too, is answered only after the state store has confirmed it, for
 * another node may have told the user something newer (invariant 3).
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

  /** Notes that another controller has accepted the job. */
  markAccepted(id: string): void {
    if (this.jobStates.terminalState(id) === undefined) this.jobStates.markActive(id);
  }

  /** How the job has ended; null: it is not known to have ended. */
  terminalState(id: string): TerminalState | null {
    return this.jobStates.terminalState(id) ?? null;
  }

  /** Notes how a job has ended, as another controller or this node's leader tells. */
  markTerminal(id: string, state: TerminalState): void {
    this.jobStates.markTerminal(id, state);
  }

  /** Responds to a submission with this decoded body. */
  submit(body: unknown, respond: Respond): void {
    this.submissions.submit(body, respond);
  }

  /** Responds with a job's status. */
  poll(id: string, respond: Respond): void {
    this.statusQueries.poll(id, respond);
  }

  /** Cancels a job, and responds with how it has ended. */
  cancel(id: string, respond: Respond): void {
    this.cancellations.cancel(id, respond);
  }
}
