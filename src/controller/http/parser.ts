/**
 * Incremental HTTP/1.1 parser for requests and responses. It takes the bytes of a connection, split at any
 * position, and returns complete messages.
 */

/** A parsed request or response. */
export interface HttpMessage {
  /** Empty in a response. */
  method: string;
  /** Path and query; empty in a response. */
  path: string;
  /** 0 in a request. */
  status: number;
  /** Values by header name in lower case. */
  headers: Map<string, string>;
  body: Buffer;
  /** Whether the connection stays open for another message. */
  keepAlive: boolean;
}

/** Limits on the size of a message. */
export interface MessageLimits {
  /** Longest head (start line and headers) and longest trailer line that are accepted, in bytes. */
  headBytes: number;
  /** Longest body that is accepted, in bytes; for a chunked body, the sum of its chunks. */
  bodyBytes: number;
}

/** Thrown for a message that is malformed or too large. A server rejects the request with status `status`. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

const EMPTY = Buffer.alloc(0);
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const DECIMAL = /^\d{1,15}$/;
const HEX = /^[0-9a-fA-F]{1,8}$/;

const CR = 13;
const LF = 10;
/** Limit, in bytes, on the line with a chunk's size and extensions. */
const CHUNK_SIZE_LINE_BYTES = 128;
/** Limit, in bytes, on the line after a chunk's data, which has to be empty. */
const CHUNK_END_LINE_BYTES = 2;

/** The part of a message that is parsed next; `sized` is a body with a Content-Length. */
type Stage = 'head' | 'sized' | 'chunk-size' | 'chunk' | 'chunk-end' | 'trailer';

/** Result of parsing one stage: a complete message, progress to another stage or line, or too few bytes. */
type StageResult = HttpMessage | 'advanced' | 'incomplete';

function addHeader(headers: Map<string, string>, line: string): void {
  const colon = line.indexOf(':');
  const name = line.slice(0, Math.max(colon, 0));
  if (!TOKEN.test(name))
    throw new HttpError(400, `malformed header line "${line}": expected "name: value"`);
  const key = name.toLowerCase();
  const value = line.slice(colon + 1).trim();
  const previousValue = headers.get(key);
  if (previousValue === undefined || key === 'content-length') {
    if (previousValue !== undefined && previousValue !== value)
      throw new HttpError(400, `conflicting Content-Length headers: ${previousValue} and ${value}`);
    headers.set(key, value);
  } else headers.set(key, `${previousValue}, ${value}`);
}

/** Parses the messages that arrive on one connection. */
export class HttpParser {
  /** Bytes that have arrived and are not parsed yet. */
  private buffered: Buffer = EMPTY;
  private stage: Stage = 'head';
  private message: HttpMessage | null = null;
  /** Length in bytes of the body or of the chunk that is parsed next. */
  private bytesNeeded = 0;
  private chunks: Buffer[] = [];
  /** Sum of the announced lengths of the current message's chunks so far. */
  private chunkedBytes = 0;
  /** Number of bytes at the start of `buffered` in which a search has found no line end. */
  private scannedBytes = 0;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: MessageLimits,
  ) {}

  /** Whether no byte of the next message has arrived. */
  get idle(): boolean {
    return this.stage === 'head' && this.buffered.length === 0;
  }

  /** Adds bytes that have arrived. */
  push(bytes: Buffer): void {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
  }

  /**
   * Returns the next complete message, or null if more bytes are needed. Throws an `HttpError` if the
   * message is malformed or too large.
   */
  next(): HttpMessage | null {
    for (;;) {
      const result = this.readStage();
      if (result === 'incomplete') return null;
      if (result !== 'advanced') return result;
    }
  }

  private readStage(): StageResult {
    switch (this.stage) {
      case 'head':
        return this.readHead();
      case 'sized':
        if (this.buffered.length < this.bytesNeeded) return 'incomplete';
        return this.finish(this.takeBytes(this.bytesNeeded));
      case 'chunk-size':
        return this.readChunkSize();
      case 'chunk':
        return this.readChunk();
      case 'chunk-end':
        return this.readChunkEnd();
      case 'trailer':
        return this.readTrailer();
    }
  }

  private readChunkSize(): StageResult {
    const line = this.readLine(CHUNK_SIZE_LINE_BYTES);
    if (line === null) return 'incomplete';
    const size = line.split(';', 1)[0]?.trim() ?? '';
    if (!HEX.test(size))
      throw new HttpError(400, `malformed chunk size "${size}": expected 1 to 8 hex digits`);
    this.bytesNeeded = parseInt(size, 16);
    this.chunkedBytes += this.bytesNeeded;
    if (this.chunkedBytes > this.limits.bodyBytes)
      throw new HttpError(
        413,
        `chunked body too large: at least ${this.chunkedBytes} bytes, limit ${this.limits.bodyBytes}`,
      );
    this.stage = this.bytesNeeded === 0 ? 'trailer' : 'chunk';
    return 'advanced';
  }

  private readChunk(): StageResult {
    if (this.buffered.length < this.bytesNeeded) return 'incomplete';
    this.chunks.push(this.takeBytes(this.bytesNeeded));
    this.stage = 'chunk-end';
    return 'advanced';
  }

  private readChunkEnd(): StageResult {
    const line = this.readLine(CHUNK_END_LINE_BYTES);
    if (line === null) return 'incomplete';
    if (line !== '')
      throw new HttpError(400, `malformed chunk end "${line}": expected an empty line`);
    this.stage = 'chunk-size';
    return 'advanced';
  }

  private readTrailer(): StageResult {
    const line = this.readLine(this.limits.headBytes);
    if (line === null) return 'incomplete';
    return line === '' ? this.finish(Buffer.concat(this.chunks)) : 'advanced';
  }

  /** Removes the first bytes from `buffered` and returns them. */
  private takeBytes(size: number): Buffer {
    const taken = this.buffered.subarray(0, size);
    this.buffered = this.buffered.length === size ? EMPTY : this.buffered.subarray(size);
    this.scannedBytes = 0;
    return taken;
  }

  /** Returns the next line without its line end, or null if its end has not arrived. */
  private readLine(maxBytes: number): string | null {
    const end = this.buffered.indexOf('\r\n', Math.max(0, this.scannedBytes - 1));
    if (end < 0) {
      this.scannedBytes = this.buffered.length;
      if (this.buffered.length > maxBytes + 2)
        throw new HttpError(
          400,
          `line too long: no line end in ${this.buffered.length} bytes, limit ${maxBytes}`,
        );
      return null;
    }
    if (end > maxBytes) throw new HttpError(400, `line too long: ${end} bytes, limit ${maxBytes}`);
    return this.takeBytes(end + 2).toString('latin1', 0, end);
  }

  private finish(body: Buffer): HttpMessage {
    const message = this.message;
    if (message === null) throw new HttpError(400, 'message body was read before its head');
    message.body = body;
    this.message = null;
    this.chunks = [];
    this.chunkedBytes = 0;
    this.stage = 'head';
    return message;
  }

  private readHead(): StageResult {
    const lines = this.readHeadLines();
    if (lines === null) return 'incomplete';
    const message = this.parseStartLine(lines[0] ?? '');
    for (let i = 1; i < lines.length; i++) addHeader(message.headers, lines[i] ?? '');
    this.message = message;
    this.determineBodyFraming(message);
    return 'advanced';
  }

  private readHeadLines(): string[] | null {
    // Empty lines before a start line are ignored (RFC 9112, section 2.2).
    while (this.buffered.length >= 2 && this.buffered[0] === CR && this.buffered[1] === LF)
      this.takeBytes(2);
    const end = this.buffered.indexOf('\r\n\r\n', Math.max(0, this.scannedBytes - 3));
    if (end < 0) {
      this.scannedBytes = this.buffered.length;
      if (this.buffered.length > this.limits.headBytes)
        throw new HttpError(
          431,
          `head too large: no end in ${this.buffered.length} bytes, limit ${this.limits.headBytes}`,
        );
      return null;
    }
    if (end > this.limits.headBytes)
      throw new HttpError(431, `head too large: ${end} bytes, limit ${this.limits.headBytes}`);
    return this.takeBytes(end + 4)
      .toString('latin1', 0, end)
      .split('\r\n');
  }

  private parseStartLine(line: string): HttpMessage {
    const base = { headers: new Map<string, string>(), body: EMPTY, keepAlive: true };
    if (this.kind === 'request') {
      const match = /^([A-Z]{1,16}) (\/[\x21-\x7e]*) HTTP\/1\.([01])$/.exec(line);
      if (match === null)
        throw new HttpError(400, `malformed request line "${line}": expected "GET /path HTTP/1.x"`);
      return {
        ...base,
        method: match[1] ?? '',
        path: match[2] ?? '',
        status: 0,
        keepAlive: match[3] === '1',
      };
    }
    const match = /^HTTP\/1\.([01]) (\d{3})(?: .*)?$/.exec(line);
    if (match === null)
      throw new HttpError(400, `malformed status line "${line}": expected "HTTP/1.x NNN"`);
    return { ...base, method: '', path: '', status: Number(match[2]), keepAlive: match[1] === '1' };
  }

  /** Determines from the headers where the body ends and whether the connection stays open. */
  private determineBodyFraming(message: HttpMessage): void {
    const connectionHeader = message.headers.get('connection')?.toLowerCase() ?? '';
    if (connectionHeader.split(/\s*,\s*/).includes('close')) message.keepAlive = false;
    const transferCoding = message.headers.get('transfer-encoding')?.toLowerCase();
    const contentLength = message.headers.get('content-length');
    if (transferCoding !== undefined) {
      if (transferCoding !== 'chunked')
        throw new HttpError(
          501,
          `unsupported transfer coding "${transferCoding}": expected "chunked"`,
        );
      if (contentLength !== undefined)
        throw new HttpError(400, `Content-Length ${contentLength} in a message with chunked body`);
      this.stage = 'chunk-size';
      return;
    }
    if (contentLength !== undefined && !DECIMAL.test(contentLength))
      throw new HttpError(
        400,
        `malformed Content-Length "${contentLength}": expected 1 to 15 digits`,
      );
    this.bytesNeeded = contentLength === undefined ? 0 : Number(contentLength);
    if (this.bytesNeeded > this.limits.bodyBytes)
      throw new HttpError(
        413,
        `body too large: ${this.bytesNeeded} bytes, limit ${this.limits.bodyBytes}`,
      );
    this.stage = 'sized';
  }
}
