/**
 * The messages that controllers send one another. Their property names are those of the wire schema
 * (`message-schema.ts`) and can't change.
 */
import type { JobState, TerminalState } from '../wire/jobs.js';

/**
 * What a controller says of itself. No invariant depends on it: it only saves requests to the state
 * store.
 */
export interface PeerStatus {
  host: string;
  /** Tells apart the processes of one host. */
  identity: string;
  /** Milliseconds since the state store last served the sender; -1: never. */
  stateOkAgeMs: number;
  /** Host of the leader as far as the sender knows; empty: none. */
  leaderHost: string;
  /** Term of that leader; 0: none. */
  term: number;
  /** Puts and deletes a second that the sender would make at the state store. */
  wantedWrites: number;
  /** Workers' heartbeats a second that the sender has redirected to the leader. */
  strayReports: number;
}

/** The end of a job. Terminal states never change, so they may be passed on and cached. */
export interface JobEnd {
  id: string;
  state: TerminalState;
}

/** Counts of a job for display, as its leader knows them. */
export interface JobProgress {
  id: string;
  state: JobState;
  done: number;
  running: number;
  /** Runs that have ended, by cause. */
  exits: Record<string, number>;
  /** Why the job does not start; empty: nothing is known to block it. */
  blocked: string;
}

/** A user's request that the sender can't answer because the state store doesn't serve it. */
export interface ForwardedRequest {
  /** Host of the sender, which gets the reply. */
  from: string;
  id: number;
  method: string;
  path: string;
  body: Buffer;
}

/** The reply to the forwarded request of the same id. */
export interface ForwardedReply {
  id: number;
  status: number;
  body: Buffer;
}

/** All that one message may carry. */
export interface PeerMessage {
  status: PeerStatus | null;
  finals: JobEnd[];
  /** Ids of jobs that the sender has accepted. */
  accepted: string[];
  progress: JobProgress[];
  request: ForwardedRequest | null;
  reply: ForwardedReply | null;
}

/** A message without content. */
export const EMPTY_MESSAGE: Readonly<PeerMessage> = {
  status: null,
  finals: [],
  accepted: [],
  progress: [],
  request: null,
  reply: null,
};
