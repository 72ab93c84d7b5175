/** Context shared by the submissions, status queries and cancellations of one node. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { GroupCommit } from '../store/group-commit.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobStatus } from '../wire/jobs.js';
import type { Respond } from './api-response.js';
import type { JobStateCache } from './job-state-cache.js';

/** Queries and notifications from the frontend to the other modules of the controller. */
export interface FrontendHooks {
  /** Returns the machine types of the cloud, or null if they have not been loaded yet. */
  machineTypes(): MachineType[] | null;
  /** Returns the job's last known progress for display, or null if this node knows none. */
  progress(id: string): JobStatus | null;
  /** This node has accepted a job. */
  onAccepted(id: string): void;
  /** This node has ended a job by cancelling it. */
  onCancelled(id: string): void;
}

/** Time-out of calls to the state store that a user's request waits for, in milliseconds. */
export const CALL_TIMEOUT_MS = 1500;

/** Minimum retry delay given to users while the state store is unavailable, in milliseconds. */
const UNAVAILABLE_RETRY_MS = 1000;

/** Dependencies and caches of submissions, status queries and cancellations. */
export interface FrontendContext {
  readonly eventLoop: EventLoop;
  readonly settings: Settings;
  readonly client: StateStoreClient;
  readonly hooks: FrontendHooks;
  readonly jobStates: JobStateCache;
  /** Combines the writes of several submissions and cancellations into one transaction. */
  readonly writes: GroupCommit;
}

/** Responds with 503 and the delay after which the state store is expected to be available. */
export function respondRetryLater({ writes, client }: FrontendContext, respond: Respond): void {
  const waitMs = Math.max(writes.waitMs(), client.health.isUnavailable ? UNAVAILABLE_RETRY_MS : 0);
  const retryAfterS = Math.max(1, Math.ceil(waitMs / 1000));
  respond({ status: 503, body: { error: 'not now' }, retryAfterS });
}
