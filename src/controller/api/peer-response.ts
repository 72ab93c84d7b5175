/** Conversion of the replies that peers send when a request was forwarded to them. */
import type { ApiResponse } from '../jobs/api-response.js';
import type { ForwardedReply } from '../peers/message.js';
import { decodeBody } from '../wire/cbor.js';

/** Converts a peer's reply to a response. The response has status 503 if the reply's body cannot be decoded. */
export function toApiResponse({ status, body }: ForwardedReply): ApiResponse {
  if (body.length === 0) return { status };
  try {
    return { status, body: decodeBody(body) };
  } catch {
    return { status: 503, body: { error: 'broken answer of a peer' } };
  }
}
