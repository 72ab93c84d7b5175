/** Responses of the API, independent of their transport. */

/** A body that is sent as it is. */
export interface EncodedBody {
  bytes: Buffer;
  contentType: string;
}

/** A response to one request. */
export interface ApiResponse {
  status: number;
  /** Sent as CBOR; absent: the body is empty. */
  body?: unknown;
  /** Sent in place of `body`. */
  encodedBody?: EncodedBody;
  /** Seconds after which the client is asked to try again. */
  retryAfterS?: number;
  /** The method that the path allows, where the request had another. */
  allow?: string;
}

/** Sends the response to one request; called once. */
export type Respond = (response: ApiResponse) => void;

/** The response about a job that does not exist. */
export function jobNotFound(): ApiResponse {
  return { status: 404, body: { error: 'no such job' } };
}
