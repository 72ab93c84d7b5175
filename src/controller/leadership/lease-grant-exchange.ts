/** The requests for promises and their answers, as they travel between controllers. */
import type { Peers } from '../peers/peers.js';
import type { RequestLeaseGrant } from './lease-extension.js';
import {
  DENIED_STATUS,
  LEASE_GRANT_PATH,
  GRANTED_STATUS,
  decodeLeaseGrantRequest,
  encodeLeaseGrantRequest,
} from './lease-grant-request.js';

/** Gives promises of this controller. */
export interface LeaseGrantor {
  /** False if no promise is given. */
  grantLease(term: number): boolean;
}

/** Asks the other controllers for promises. */
export function requestLeaseGrantsOver(peers: () => Pick<Peers, 'forward'>): RequestLeaseGrant {
  return (host, term, timeoutMs, done) => {
    const body = encodeLeaseGrantRequest(term);
    peers().forward(host, 'POST', LEASE_GRANT_PATH, body, timeoutMs, (reply) =>
      done(reply?.status === GRANTED_STATUS),
    );
  };
}

/** Status of the answer to a leader that asks for a promise. */
export function answerLeaseGrantRequest(grantor: LeaseGrantor, body: Buffer): number {
  const term = decodeLeaseGrantRequest(body);
  return term !== null && grantor.grantLease(term) ? GRANTED_STATUS : DENIED_STATUS;
}
