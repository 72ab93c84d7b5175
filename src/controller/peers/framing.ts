/** Framing of messages between controllers: the message's length as four big-endian bytes, then the message. */

/** Length, in bytes, of the longest message that is accepted. */
export const MAX_FRAME_BYTES = 256 * 1024;
/** Size, in bytes, of the length at the start of a frame. */
const LENGTH_BYTES = 4;

/** Thrown if the length of a message in a frame is above `MAX_FRAME_BYTES`. */
export class FrameTooLargeError extends Error {
  override readonly name = 'FrameTooLargeError';

  constructor(announcedBytes: number) {
    super(`frame too large: message of ${announcedBytes} bytes, limit ${MAX_FRAME_BYTES}`);
  }
}

/** Reported if a connection ends before all bytes of a frame have arrived. */
export class TruncatedFrameError extends Error {
  override readonly name = 'TruncatedFrameError';

  constructor() {
    super('truncated frame: the connection ended before all of its bytes arrived');
  }
}

/** Returns the frame of one message. */
export function encodeFrame(message: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + message.length);
  frame.writeUInt32BE(message.length, 0);
  message.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Decodes the frames that arrive on one connection. */
export class FrameDecoder {
  private buffered: Buffer = Buffer.alloc(0);

  /** Whether bytes of an incomplete frame have arrived. */
  get hasPartialFrame(): boolean {
    return this.buffered.length > 0;
  }

  /**
   * Adds bytes that have arrived and returns the messages that they complete. Throws a `FrameTooLargeError` if
   * the length of a message is above `MAX_FRAME_BYTES`.
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
