/** Requests lease grants from other controllers, and answers the requests of other controllers. */
import type { Peers } from '../peers/peers.js';
import type { RequestLeaseGrant } from './lease-extension.js';
import {
  decodeLeaseGrantRequest,
  DENIED_STATUS,
  encodeLeaseGrantRequest,
  GRANTED_STATUS,
  LEASE_GRANT_PATH,
  LeaseGrantRequestError,
} from './lease-grant-request.js';

/** Decides on this controller's lease grants. */
export interface LeaseGrantor {
  /** Gives a lease grant to the leader of the given term; returns false if the grant is denied. */
  grantLease(term: number): boolean;
}

/** Returns a function that requests lease grants by forwarding a request to the other controller. */
export function requestLeaseGrantsOver(peers: () => Pick<Peers, 'forward'>): RequestLeaseGrant {
  return (host, term, timeoutMs, done) => {
    const body = encodeLeaseGrantRequest(term);
    peers().forward(host, 'POST', LEASE_GRANT_PATH, body, timeoutMs, (reply) =>
      done(reply?.status === GRANTED_STATUS),
    );
  };
}

/** Handles a lease grant request and returns the status of the reply; a malformed request is denied. */
export function answerLeaseGrantRequest(grantor: LeaseGrantor, body: Buffer): number {
  try {
    const term = decodeLeaseGrantRequest(body);
    return grantor.grantLease(term) ? GRANTED_STATUS : DENIED_STATUS;
  } catch (err) {
    if (err instanceof LeaseGrantRequestError) return DENIED_STATUS;
    throw err;
  }
}
