/**
 * Incremental HTTP/1.1 parser for requests and responses. It takes bytes as they arrive, however they are
 * split, and returns complete messages.
 */

/** A request or a response. */
export interface HttpMessage {
  /** '' in a response. */
  method: string;
  /** Path and query; '' in a response. */
  path: string;
  /** 0 in a request. */
  status: number;
  /** By name in lower case. */
  headers: Map<string, string>;
  body: Buffer;
  /** Whether the connection may carry another message. */
  keepAlive: boolean;
}

/** Largest head and body that are accepted. */
export interface MessageLimits {
  headBytes: number;
  bodyBytes: number;
}

/** A message that is malformed or too large. `status` is that of the response that says so. */
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
/** Longest line with a chunk's size and extensions. */
const CHUNK_SIZE_LINE_BYTES = 128;
const CHUNK_END_LINE_BYTES = 2;

/** The part of a message that is read next. */
type Stage = 'head' | 'sized' | 'chunk-size' | 'chunk' | 'chunk-end' | 'trailer';

/** Outcome of reading one stage: a complete message, the next stage, or a lack of bytes. */
type StageResult = HttpMessage | 'advanced' | 'incomplete';

function addHeader(headers: Map<string, string>, line: string): void {
  const colon = line.indexOf(':');
  const name = line.slice(0, Math.max(colon, 0));
  if (!TOKEN.test(name)) throw new HttpError(400, 'bad header');
  const key = name.toLowerCase();
  const value = line.slice(colon + 1).trim();
  const previousValue = headers.get(key);
  if (previousValue === undefined || key === 'content-length') {
    if (previousValue !== undefined && previousValue !== value)
      throw new HttpError(400, 'two lengths');
    headers.set(key, value);
  } else headers.set(key, `${previousValue}, ${value}`);
}

/** Parses the messages of one connection in one direction. */
export class HttpParser {
  /** Bytes that have arrived and are not used yet. */
  private buffered: Buffer = EMPTY;
  private stage: Stage = 'head';
  private message: HttpMessage | null = null;
  /** Length of the body or of the chunk that is being read. */
  private bytesNeeded = 0;
  private chunks: Buffer[] = [];
  /** Length of all chunks so far. */
  private chunkedBytes = 0;
  /** Bytes of `data` that were searched for a line's end in vain. */
  private scannedBytes = 0;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: MessageLimits,
  ) {}

  /** Whether nothing of the next message has arrived. */
  get idle(): boolean {
    return this.stage === 'head' && this.buffered.length === 0;
  }

  /** Takes bytes that have arrived. */
  push(bytes: Buffer): void {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
  }

  /** The next complete message, `null` while more bytes are needed. Throws an `HttpError`. */
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
    if (!HEX.test(size)) throw new HttpError(400, 'bad chunk size');
    this.bytesNeeded = parseInt(size, 16);
    this.chunkedBytes += this.bytesNeeded;
    if (this.chunkedBytes > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
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
    if (line !== '') throw new HttpError(400, 'bad chunk end');
    this.stage = 'chunk-size';
    return 'advanced';
  }

  private readTrailer(): StageResult {
    const line = this.readLine(this.limits.headBytes);
    if (line === null) return 'incomplete';
    return line === '' ? this.finish(Buffer.concat(this.chunks)) : 'advanced';
  }

  /** Removes the first bytes from `data`. */
  private takeBytes(size: number): Buffer {
    const part = this.buffered.subarray(0, size);
    this.buffered = this.buffered.length === size ? EMPTY : this.buffered.subarray(size);
    this.scannedBytes = 0;
    return part;
  }

  /** The next line without its end, `null` while it is incomplete. */
  private readLine(maxBytes: number): string | null {
    const end = this.buffered.indexOf('\r\n', Math.max(0, this.scannedBytes - 1));
    if (end < 0) {
      this.scannedBytes = this.buffered.length;
      if (this.buffered.length > maxBytes + 2) throw new HttpError(400, 'line too long');
      return null;
    }
    if (end > maxBytes) throw new HttpError(400, 'line too long');
    return this.takeBytes(end + 2).toString('latin1', 0, end);
  }

  private finish(body: Buffer): HttpMessage {
    const message = this.message;
    if (message === null) throw new HttpError(400, 'no head');
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
    // Empty lines before a start line are allowed (RFC 9112, 2.2).
    while (this.buffered.length >= 2 && this.buffered[0] === CR && this.buffered[1] === LF)
      this.takeBytes(2);
    const end = this.buffered.indexOf('\r\n\r\n', Math.max(0, this.scannedBytes - 3));
    if (end < 0) {
      this.scannedBytes = this.buffered.length;
      if (this.buffered.length > this.limits.headBytes) throw new HttpError(431, 'head too large');
      return null;
    }
    if (end > this.limits.headBytes) throw new HttpError(431, 'head too large');
    return this.takeBytes(end + 4)
      .toString('latin1', 0, end)
      .split('\r\n');
  }

  private parseStartLine(line: string): HttpMessage {
    const base = { headers: new Map<string, string>(), body: EMPTY, keepAlive: true };
    if (this.kind === 'request') {
      const match = /^([A-Z]{1,16}) (\/[\x21-\x7e]*) HTTP\/1\.([01])$/.exec(line);
      if (match === null) throw new HttpError(400, 'bad request line');
      return {
        ...base,
        method: match[1] ?? '',
        path: match[2] ?? '',
        status: 0,
        keepAlive: match[3] === '1',
      };
    }
    const match = /^HTTP\/1\.([01]) (\d{3})(?: .*)?$/.exec(line);
    if (match === null) throw new HttpError(400, 'bad status line');
    return { ...base, method: '', path: '', status: Number(match[2]), keepAlive: match[1] === '1' };
  }

  /** Determines how the body of the message is delimited. */
  private determineBodyFraming(message: HttpMessage): void {
    const connectionHeader = message.headers.get('connection')?.toLowerCase() ?? '';
    if (connectionHeader.split(/\s*,\s*/).includes('close')) message.keepAlive = false;
    const transferCoding = message.headers.get('transfer-encoding')?.toLowerCase();
    const contentLength = message.headers.get('content-length');
    if (transferCoding !== undefined) {
      if (transferCoding !== 'chunked') throw new HttpError(501, 'unknown transfer coding');
      if (contentLength !== undefined) throw new HttpError(400, 'length and chunks');
      this.stage = 'chunk-size';
      return;
    }
    if (contentLength !== undefined && !DECIMAL.test(contentLength))
      throw new HttpError(400, 'bad length');
    this.bytesNeeded = contentLength === undefined ? 0 : Number(contentLength);
    if (this.bytesNeeded > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
    this.stage = 'sized';
  }
}
