/**
 * The request by which a leader asks another controller for a promise. It travels like a user's request
 * that one controller passes on to another: versions that don't know it answer 404, which is no promise.
 */
import { decodeBody, encodeBody, isMap } from '../wire/cbor.js';

/** Path of the request; it is answered among controllers only. */
export const LEASE_GRANT_PATH = '/leadership/promise';

/** Status of an answer that gives the promise. */
export const GRANTED_STATUS = 200;
/** Status of an answer that doesn't. */
export const DENIED_STATUS = 409;

/** The body of a request of the leader of this term. */
export function encodeLeaseGrantRequest(term: number): Buffer {
  return encodeBody({ term });
}

/** The term of the leader that asks; `null`: the request can't be read. */
export function decodeLeaseGrantRequest(body: Buffer): number | null {
  try {
    const request = decodeBody(body);
    const term = isMap(request) ? request['term'] : null;
    return typeof term === 'number' ? term : null;
  } catch {
    return null;
  }
}
