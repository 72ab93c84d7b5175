/** Encoding and decoding of the messages between controllers, in Avro's binary encoding. */
import avsc from 'avsc';
import { validateAvroEncoding } from './avro-validation.js';
import { PEER_MESSAGE_SCHEMA } from './message-schema.js';
import type { PeerMessage } from './message.js';

const messageType = avsc.Type.forSchema(PEER_MESSAGE_SCHEMA);

/** Thrown if bytes from another controller do not encode exactly one message. `cause` is the decoding error. */
export class UnreadablePeerMessageError extends Error {
  override readonly name = 'UnreadablePeerMessageError';

  constructor(cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`unreadable peer message: ${reason}`, { cause });
  }
}

/** Returns the encoded message. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  return messageType.toBuffer(message);
}

/** Decodes a message. Throws an `UnreadablePeerMessageError` unless the bytes encode exactly one message. */
export function decodePeerMessage(bytes: Buffer): PeerMessage {
  try {
    // Validated first, since avsc allocates arrays of the encoded length without checking the length.
    validateAvroEncoding(PEER_MESSAGE_SCHEMA, bytes);
    const message: unknown = messageType.fromBuffer(bytes);
    return message as PeerMessage;
  } catch (err) {
    throw new UnreadablePeerMessageError(err);
  }
}
