/** Frames on a connection between controllers: the length in four bytes, big-endian, then one message. */

/** Bytes of the longest message. */
export const MAX_FRAME_BYTES = 256 * 1024;
/** Bytes of a frame's length. */
const LENGTH_BYTES = 4;

/** A frame announces more bytes than any message may have. */
export class FrameTooLargeError extends Error {
  override readonly name = 'FrameTooLargeError';

  constructor(announcedBytes: number) {
    super(`frame of ${announcedBytes} bytes`);
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
export function encodeFrame(message: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + message.length);
  frame.writeUInt32BE(message.length, 0);
  message.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Reassembles the messages of one connection. */
export class FrameDecoder {
  private buffered: Buffer = Buffer.alloc(0);

  /** A part of a frame has arrived, and its rest has not. */
  get hasPartialFrame(): boolean {
    return this.buffered.length > 0;
  }

  /**
   * Takes bytes as they arrive and returns the messages that are complete. Throws a
   * `FrameTooLargeError` on a frame that is longer than any message may be.
   */
  push(bytes: Buffer): Buffer[] {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
    const messages: Buffer[] = [];
    while (this.buffered.length >= LENGTH_BYTES) {
      const messageBytes = this.buffered.readUInt32BE(0);
      if (messageBytes > MAX_FRAME_BYTES) throw new FrameTooLargeError(messageBytes);
      const end = LENGTH_BYTES + messageBytes;
      if (this.buffered.length < end) break;
      messages.push(this.buffered.subarray(LENGTH_BYTES, end));
      this.buffered = this.buffered.subarray(end);
    }
    return messages;
  }
}
