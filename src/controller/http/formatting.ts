/** Formatting of HTTP/1.1 requests and responses. */

const EMPTY_BODY = Buffer.alloc(0);

const reasonPhrases: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  413: 'Content Too Large',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  429: 'Too Many Requests',
  431: 'Request Header Fields Too Large',
  500: 'Internal Server Error',
  501: 'Not Implemented',
  503: 'Service Unavailable',
  504: 'Gateway Timeout',
};

/** A response to format. */
export interface HttpResponse {
  status: number;
  body: Buffer;
  /** Content type of the body; application/cbor if absent. */
  contentType?: string;
  /** Retry-After in seconds, which is rounded up to a whole number of at least 1; no header if absent. */
  retryAfterS?: number;
  /** Value of the Allow header of a response with status 405: the method that the path allows. */
  allow?: string;
}

/** Returns the bytes of a response; `close` adds the header `Connection: close`. */
export function formatResponse(response: HttpResponse, close: boolean): Buffer {
  const { status, body, contentType, retryAfterS, allow } = response;
  let head = `HTTP/1.1 ${status} ${reasonPhrases[status] ?? 'Status'}\r\nContent-Length: ${body.length}\r\n`;
  if (body.length > 0) head += `Content-Type: ${contentType ?? 'application/cbor'}\r\n`;
  if (retryAfterS !== undefined) head += `Retry-After: ${Math.max(1, Math.ceil(retryAfterS))}\r\n`;
  if (allow !== undefined) head += `Allow: ${allow}\r\n`;
  if (close) head += 'Connection: close\r\n';
  return Buffer.concat([Buffer.from(`${head}\r\n`, 'latin1'), body]);
}

/** Returns the bytes of a request. The body has to be CBOR; null stands for a request without a body. */
export function formatRequest(
  method: string,
  host: string,
  path: string,
  body: Buffer | null,
): Buffer {
  let head = `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\n`;
  if (body !== null) head += `Content-Type: application/cbor\r\nContent-Length: ${body.length}\r\n`;
  return Buffer.concat([Buffer.from(`${head}\r\n`, 'latin1'), body ?? EMPTY_BODY]);
}
