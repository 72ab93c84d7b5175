/** Bodies of responses as they are sent. */
import { encodeBody } from '../wire/cbor.js';

const EMPTY_BODY = Buffer.alloc(0);

/** The body in CBOR; empty where the response has none. */
export function encodeResponseBody(body: unknown): Buffer {
  return body === undefined ? EMPTY_BODY : encodeBody(body);
}
