/**
 * The request by which a leader asks another controller for a lease grant. It travels like a user's
 * request that one controller forwards to another: older versions that don't know it answer 404,
 * which is no grant.
 */
import { decodeBody, encodeBody, isMap } from '../wire/cbor.js';

/** Path of the request; it is answered among controllers only. */
export const LEASE_GRANT_PATH = '/leadership/promise';

/** Status of a reply that gives the grant. */
export const GRANTED_STATUS = 200;
/** Status of a reply that does not. */
export const DENIED_STATUS = 409;

/** The body of a lease grant request is malformed. */
export class LeaseGrantRequestError extends Error {
  override readonly name = 'LeaseGrantRequestError';
}

/** The body of a request of the leader of a term. */
export function encodeLeaseGrantRequest(term: number): Buffer {
  return encodeBody({ term });
}

/** The term of the leader that asks; throws a `LeaseGrantRequestError` on a malformed body. */
export function decodeLeaseGrantRequest(body: Buffer): number {
  const request = decodeRequest(body);
  const term = isMap(request) ? request['term'] : null;
  if (typeof term !== 'number') throw new LeaseGrantRequestError('term: expected a number');
  return term;
}

function decodeRequest(body: Buffer): unknown {
  try {
    return decodeBody(body);
  } catch (err) {
    throw new LeaseGrantRequestError('body: not CBOR', { cause: err });
  }
}
