/** Frames on a connection between controllers: four bytes of length, then one message. */

/** Bytes of the longest message. */
export const MAX_FRAME_BYTES = 256 * 1024;
/** Bytes of a frame's length. */
const LENGTH_BYTES = 4;

/** A frame announces more bytes than any message may have. */
export class FrameTooLargeError extends Error {
  override readonly name = 'FrameTooLargeError';

  constructor(size: number) {
    super(`frame of ${size} bytes`);
  }
}

/** A connection has ended within a frame. */
export class TruncatedFrameError extends Error {
  override readonly name = 'TruncatedFrameError';

  constructor() {
    super('connection ended within a frame');
  }
}

/** The frame of one message. */
export function encodeFrame(bytes: Buffer): Buffer {
  const out = Buffer.allocUnsafe(bytes.length + LENGTH_BYTES);
  out.writeUInt32BE(bytes.length, 0);
  bytes.copy(out, LENGTH_BYTES);
  return out;
}

/** Puts the messages of one connection together again. */
export class FrameDecoder {
  private buffered: Buffer = Buffer.alloc(0);

  /** Whether a part of a frame has arrived, and its rest has not. */
  get hasPartialFrame(): boolean {
    return this.buffered.length > 0;
  }

  /**
   * Takes what has arrived and returns the messages that are whole. Throws when a frame is longer than
   * any message may be.
   */
  push(bytes: Buffer): Buffer[] {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
    const frames: Buffer[] = [];
    while (this.buffered.length >= LENGTH_BYTES) {
      const size = this.buffered.readUInt32BE(0);
      if (size > MAX_FRAME_BYTES) throw new FrameTooLargeError(size);
      const end = LENGTH_BYTES + size;
      if (this.buffered.length < end) break;
      frames.push(this.buffered.subarray(LENGTH_BYTES, end));
      this.buffered = this.buffered.subarray(end);
    }
    return frames;
  }
}
