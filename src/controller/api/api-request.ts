/** Requests to the API, from clients and from peers. */

/** A request to the API, independent of its transport. */
export interface ApiRequest {
  method: string;
  /** The path, with the query if the request has one. */
  target: string;
  body: Buffer;
}
