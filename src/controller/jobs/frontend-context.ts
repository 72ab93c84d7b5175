/** What the parts of the users' side share. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { GroupCommit } from '../store/group-commit.js';
import type { StateStoreClient } from '../store/client.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobStatus } from '../wire/jobs.js';
import type { JobStateCache } from './job-state-cache.js';

/** A response to a user's request. */
export interface ApiResponse {
  allow?: string;
  /** A body that is not CBOR, with its type. */
  raw?: Buffer;
  type?: string;
  status: number;
  body?: unknown;
  retryAfterS?: number;
}

/** Sends the response to one request. */
export type Respond = (answer: ApiResponse) => void;

/** What the users' side asks of the rest of the controller, and tells it. */
export interface FrontendHooks {
  /** The machine types of the cloud, as far as they are known. */
  machineTypes(): MachineType[] | null;
  /** Counts for display, if this node has them. */
  progress(id: string): JobStatus | null;
  /** This node has just accepted a job. */
  onAccepted(id: string): void;
  /** This node has just ended a job by cancelling it. */
  onCancelled(id: string): void;
}

/** Time-out of calls to the state service for a user who waits. */
export const CALL_TIMEOUT_MS = 1500;

/** Wait that a user is told while the state service can't be reached. */
const DOWN_RETRY_MS = 1000;

/** Shared by submissions, status queries and cancellations of one node. */
export interface FrontendContext {
  readonly eventLoop: EventLoop;
  readonly settings: Settings;
  readonly client: StateStoreClient;
  readonly hooks: FrontendHooks;
  readonly known: JobStateCache;
  /** Group commit of submissions and cancellations. */
  readonly writes: GroupCommit;
}

/** Tells the user to ask again later. */
export function respondRetryLater({ writes, client }: FrontendContext, respond: Respond): void {
  const seconds = Math.max(writes.waitMs(), client.isUnavailable ? DOWN_RETRY_MS : 0) / 1000;
  const retryAfterS = Math.max(1, Math.ceil(seconds));
  respond({ status: 503, body: { error: 'not now' }, retryAfterS });
}

/** The response about a job that does not exist. */
export function jobNotFound(): ApiResponse {
  return { status: 404, body: { error: 'no such job' } };
}
