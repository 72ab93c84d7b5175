/**
 * The messages that controllers send to each other. Their property names are the field names of the Avro
 * schema in `message-schema.ts` and must not change.
 */
import type { JobState, TerminalState } from '../wire/jobs.js';

/**
 * The status that a controller sends to its peers at regular intervals. No invariant depends on it: it only
 * saves requests to the state store.
 */
export interface PeerStatus {
  host: string;
  /** Identifies the sender's process, to distinguish it from other processes on the same host. */
  identity: string;
  /** Milliseconds since the state store last served the sender; -1 if it never has. */
  stateOkAgeMs: number;
  /** Host of the leader that the sender knows; empty if it knows none. */
  leaderHost: string;
  /** Term of the leader that the sender knows; 0 if it knows none. */
  term: number;
  /** Rate at which the sender needs to write to the state store, in puts and deletes per second. */
  wantedWrites: number;
  /** Rate at which the sender redirects workers' heartbeats to the leader, in heartbeats per second. */
  strayReports: number;
}

/** The terminal state of a job. It never changes, so it can be sent to peers and cached. */
export interface JobEnd {
  id: string;
  state: TerminalState;
}

/** Progress of a job as the leader knows it, for responses to users. */
export interface JobProgress {
  id: string;
  state: JobState;
  /** Number of completed tasks. */
  done: number;
  /** Number of running tasks. */
  running: number;
  /** Number of task attempts that have ended, by exit cause. */
  exits: Record<string, number>;
  /** Reason why the job does not start; empty if no reason is known. */
  blocked: string;
}

/**
 * A request that the receiver has to answer: a request of a client, or a leader's request for a lease grant.
 */
export interface ForwardedRequest {
  /** Host of the sender, to which the reply is sent. */
  from: string;
  /** Unique among the sender's requests; the reply has the same id. */
  id: number;
  method: string;
  path: string;
  body: Buffer;
}

/** The reply to the forwarded request with the same id. */
export interface ForwardedReply {
  id: number;
  status: number;
  body: Buffer;
}

/** A message between controllers; each of its parts may be absent or empty. */
export interface PeerMessage {
  status: PeerStatus | null;
  finals: JobEnd[];
  /** Ids of jobs that the sender has accepted. */
  accepted: string[];
  progress: JobProgress[];
  request: ForwardedRequest | null;
  reply: ForwardedReply | null;
}

/** A message whose parts are all absent or empty. */
export const EMPTY_MESSAGE: Readonly<PeerMessage> = {
  status: null,
  finals: [],
  accepted: [],
  progress: [],
  request: null,
  reply: null,
};
