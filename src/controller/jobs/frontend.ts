/** The users' side of a controller: submissions, status queries and cancellations. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import { GroupCommit } from '../store/group-commit.js';
import { tokenReserve, type StateStoreClient } from '../store/client.js';
import type { TerminalState } from '../wire/jobs.js';
import { Cancellations } from './cancellations.js';
import { CALL_TIMEOUT_MS, type FrontendHooks, type Respond } from './frontend-context.js';
import { JobStateCache } from './job-state-cache.js';
import { StatusQueries } from './status-queries.js';
import { Submissions } from './submissions.js';

export type { ApiResponse, FrontendHooks } from './frontend-context.js';

/**
 * The users' side, the same on every node. A job's end is final and answered from memory; anything
 * else, a 404 too, is an answer only after the state service has confirmed it, for another node may
 * have told the user something newer.
 */
export class Frontend {
  private readonly jobStates: JobStateCache;
  private readonly queries: StatusQueries;
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
    const context = { eventLoop, settings, client, hooks, known: this.jobStates, writes };
    this.queries = new StatusQueries(context);
    this.submissions = new Submissions(context, this.queries);
    this.cancellations = new Cancellations(context, this.queries);
  }

  /** Another controller has accepted the job. */
  markAccepted(id: string): void {
    if (this.jobStates.terminalState(id) === undefined) this.jobStates.markActive(id);
  }

  /** How a job ended that this node knows to have ended; the end is for ever. */
  terminalState(id: string): TerminalState | null {
    return this.jobStates.terminalState(id) ?? null;
  }

  /** A job has ended, as another controller or this node's leader says. */
  markTerminal(id: string, state: TerminalState): void {
    this.jobStates.markTerminal(id, state);
  }

  /** Answers a submission. */
  submit(body: unknown, respond: Respond): void {
    this.submissions.submit(body, respond);
  }

  /** Answers a question about a job. */
  poll(id: string, respond: Respond): void {
    this.queries.poll(id, respond);
  }

  /** Answers a cancellation. */
  cancel(id: string, respond: Respond): void {
    this.cancellations.cancel(id, respond);
  }
}
