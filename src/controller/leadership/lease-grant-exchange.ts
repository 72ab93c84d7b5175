/** Lease grants as they are asked for and given between controllers. */
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

/** Gives this controller's lease grants. */
export interface LeaseGrantor {
  /** Gives the leader of a term a grant; false: denied. */
  grantLease(term: number): boolean;
}

/** Asks the other controllers for lease grants, by forwarded requests. */
export function requestLeaseGrantsOver(peers: () => Pick<Peers, 'forward'>): RequestLeaseGrant {
  return (host, term, timeoutMs, done) => {
    const body = encodeLeaseGrantRequest(term);
    peers().forward(host, 'POST', LEASE_GRANT_PATH, body, timeoutMs, (reply) =>
      done(reply?.status === GRANTED_STATUS),
    );
  };
}

/** Status of the reply to a leader that asks for a lease grant; a malformed request is denied. */
export function answerLeaseGrantRequest(grantor: LeaseGrantor, body: Buffer): number {
  try {
    const term = decodeLeaseGrantRequest(body);
    return grantor.grantLease(term) ? GRANTED_STATUS : DENIED_STATUS;
  } catch (err) {
    if (err instanceof LeaseGrantRequestError) return DENIED_STATUS;
    throw err;
  }
}
