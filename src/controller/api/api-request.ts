/** Requests to the API, whoever sent them. */

/** One request. */
export interface ApiRequest {
  method: string;
  /** A path, and perhaps a query. */
  target: string;
  body: Buffer;
}
