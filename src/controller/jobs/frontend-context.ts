/** What submissions, status queries and cancellations of one node share. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { GroupCommit } from '../store/group-commit.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobStatus } from '../wire/jobs.js';
import type { Respond } from './api-response.js';
import type { JobStateCache } from './job-state-cache.js';

/** What the frontend asks of the rest of the controller, and tells it. */
export interface FrontendHooks {
  /** The machine types of the cloud; null: not known yet. */
  machineTypes(): MachineType[] | null;
  /** The job's last known progress, for display; null: this node knows none. */
  progress(id: string): JobStatus | null;
  /** This node has accepted a job. */
  onAccepted(id: string): void;
  /** This node has ended a job by cancelling it. */
  onCancelled(id: string): void;
}

/** Time-out of calls to the state store for a user who waits, in milliseconds. */
export const CALL_TIMEOUT_MS = 1500;

/** How long users are asked to wait, at least, while the state store is unavailable. */
const UNAVAILABLE_RETRY_MS = 1000;

/** Shared by submissions, status queries and cancellations. */
export interface FrontendContext {
  readonly eventLoop: EventLoop;
  readonly settings: Settings;
  readonly client: StateStoreClient;
  readonly hooks: FrontendHooks;
  readonly jobStates: JobStateCache;
  /** Group commit of submissions and cancellations. */
  readonly writes: GroupCommit;
}

/** Asks the user to try again later, once the state store can be expected to take the request. */
export function respondRetryLater({ writes, client }: FrontendContext, respond: Respond): void {
  const waitMs = Math.max(writes.waitMs(), client.health.isUnavailable ? UNAVAILABLE_RETRY_MS : 0);
  const retryAfterS = Math.max(1, Math.ceil(waitMs / 1000));
  respond({ status: 503, body: { error: 'not now' }, retryAfterS });
}
