/** Encoding of response bodies. */
import { encodeBody } from '../wire/cbor.js';

const EMPTY_BODY = Buffer.alloc(0);

/** Encodes a body as CBOR; an undefined body gives an empty buffer. */
export function encodeResponseBody(body: unknown): Buffer {
  return body === undefined ? EMPTY_BODY : encodeBody(body);
}
