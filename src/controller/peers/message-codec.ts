/** Encodes and decodes the messages between controllers. */
import avsc from 'avsc';
import { validateAvroEncoding } from './avro-validation.js';
import { PEER_MESSAGE_SCHEMA } from './message-schema.js';
import type { PeerMessage } from './message.js';

const messageType = avsc.Type.forSchema(PEER_MESSAGE_SCHEMA);

/** Bytes from another controller that are not one whole message; `cause` says what is wrong with them. */
export class UnreadablePeerMessageError extends Error {
  override readonly name = 'UnreadablePeerMessageError';

  constructor(cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`unreadable peer message: ${reason}`, { cause });
  }
}

/** The bytes of a message. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  return messageType.toBuffer(message);
}

/** Reads a message; throws an `UnreadablePeerMessageError` on bytes that are not one whole message. */
export function decodePeerMessage(bytes: Buffer): PeerMessage {
  try {
    // Before avsc sees them: it allocates as many items as the bytes announce.
    validateAvroEncoding(PEER_MESSAGE_SCHEMA, bytes);
    const message: unknown = messageType.fromBuffer(bytes);
    return message as PeerMessage;
  } catch (err) {
    throw new UnreadablePeerMessageError(err);
  }
}
