/** Responses of the API, independent of their transport. */

/** A response body that is already encoded. */
export interface EncodedBody {
  bytes: Buffer;
  contentType: string;
}

/** A response to one request. */
export interface ApiResponse {
  status: number;
  /**
   * The body before it is encoded as CBOR; absent if the response has no body or an encoded one.
   */
  body?: unknown;
  /** A body that is already encoded, which is sent instead of `body`. */
  encodedBody?: EncodedBody;
  /** Value of the Retry-After header in seconds. */
  retryAfterS?: number;
  /** Value of the Allow header: the supported method, if the request used another one. */
  allow?: string;
}

/** Sends the response to a request. Must be called exactly once. */
export type Respond = (response: ApiResponse) => void;

/** Returns the response to a request for a job that does not exist. */
export function jobNotFound(): ApiResponse {
  return { status: 404, body: { error: 'no such job' } };
}
