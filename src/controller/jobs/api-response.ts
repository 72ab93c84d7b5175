/** Responses of the API, independent of their transport. */

/** A response body that is already encoded. */
export interface EncodedBody {
  bytes: Buffer;
  contentType: string;
}

/** A response to one request. */
export interface ApiResponse {
  status: number;
  /** Encoded as CBOR. The response has an empty body if this is absent. */
  body?: unknown;
  /** Sent instead of `body`. */
  encodedBody?: EncodedBody;
  /** Value of the Retry-After header in seconds. */
  retryAfterS?: number;
  /** Value of the Allow header: the method that the path supports; set if the request's differs. */
  allow?: string;
}

/** Sends the response to a request. Must be called exactly once. */
export type Respond = (response: ApiResponse) => void;

/** Returns the response to a request for a job that does not exist. */
export function jobNotFound(): ApiResponse {
  return { status: 404, body: { error: 'no such job' } };
}
