/**
 * The request by which a leader asks another controller for a lease grant. It is sent in the same way as a
 * user request that one controller forwards to another. Older versions do not know this request and answer
 * with status 404, which does not count as a grant.
 */
import { decodeBody, encodeBody, isMap } from '../wire/cbor.js';

/** Path of the request. It is only answered if it comes from another controller. */
export const LEASE_GRANT_PATH = '/leadership/promise';

/** Status of a reply that gives the grant. */
export const GRANTED_STATUS = 200;
/** Status of a reply that denies the grant. */
export const DENIED_STATUS = 409;

/** Thrown if the body of a lease grant request is malformed. */
export class LeaseGrantRequestError extends Error {
  override readonly name = 'LeaseGrantRequestError';
}

/** Encodes the body of a request from the leader of the given term. */
export function encodeLeaseGrantRequest(term: number): Buffer {
  return encodeBody({ term });
}

/** Decodes the term of the requesting leader; throws a `LeaseGrantRequestError` if the body is malformed. */
export function decodeLeaseGrantRequest(body: Buffer): number {
  const request = decodeRequest(body);
  const term = isMap(request) ? request['term'] : null;
  if (typeof term !== 'number')
    throw new LeaseGrantRequestError(
      'malformed lease grant request: expected a map with a number as term',
    );
  return term;
}

function decodeRequest(body: Buffer): unknown {
  try {
    return decodeBody(body);
  } catch (err) {
    throw new LeaseGrantRequestError('malformed lease grant request: the body is not valid CBOR', {
      cause: err,
    });
  }
}
