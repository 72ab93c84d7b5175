/** The users' side of a controller: submissions, status queries and cancellations. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import { GroupCommit } from '../store/group-commit.js';
import { tokenReserve, type StateStoreClient } from '../store/client.js';
import type { TerminalState } from '../wire/jobs.js';
import { Cancellations } from './cancellations.js';
import { CALL_TIMEOUT_MS, type FrontendHooks, type Respond } from './frontend-context.js';
import { KnownJobs } from './known-jobs.js';
import { StatusQueries } from './status-queries.js';
import { Submissions } from './submissions.js';

export type { Answer, FrontendHooks } from './frontend-context.js';

/**
 * The users' side, the same on every node. A job's end is final and answered from memory; anything
 * else, a 404 too, is an answer only after the state service has confirmed it, for another node may
 * have told the user something newer.
 */
export class Frontend {
  private readonly known: KnownJobs;
  private readonly queries: StatusQueries;
  private readonly submissions: Submissions;
  private readonly cancellations: Cancellations;

  constructor(
    eventLoop: EventLoop,
    settings: Settings,
    client: StateStoreClient,
    hooks: FrontendHooks,
  ) {
    this.known = new KnownJobs(settings.get('jobs.final.cache'));
    const writes = new GroupCommit(eventLoop, client, {
      timeoutMs: CALL_TIMEOUT_MS,
      maxQueueMs: CALL_TIMEOUT_MS,
      tokenReserve: tokenReserve.submissions,
      minIntervalMs: 0,
    });
    const context = { eventLoop, settings, client, hooks, known: this.known, writes };
    this.queries = new StatusQueries(context);
    this.submissions = new Submissions(context, this.queries);
    this.cancellations = new Cancellations(context, this.queries);
  }

  /** Another controller has accepted the job. */
  learnAccepted(id: string): void {
    if (this.known.finalState(id) === undefined) this.known.learnLive(id);
  }

  /** How a job ended that this node knows to have ended; the end is for ever. */
  ended(id: string): TerminalState | null {
    return this.known.finalState(id) ?? null;
  }

  /** A job has ended, as another controller or this node's leader says. */
  learnFinal(id: string, state: TerminalState): void {
    this.known.learnFinal(id, state);
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
