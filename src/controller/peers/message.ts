/** The messages that controllers send one another, and their binary form (Avro, without a version). */
import avsc from 'avsc';
import type { TerminalState, JobState } from '../wire/jobs.js';
import { validateAvroEncoding, type RecordSchema } from './avro-validation.js';

/**
 * What a controller says of itself. None of it is needed for the rules: it only saves questions to
 * the state service.
 */
export interface PeerStatus {
  host: string;
  identity: string;
  /** Milliseconds since the state service last served the sender; -1: never. */
  stateOkAgeMs: number;
  leaderHost: string;
  term: number;
  /** Puts and deletes at the state service that the sender would make a second. */
  wantedWrites: number;
  /** Workers' reports a second that the sender has sent on to the leader. */
  strayReports: number;
}

/** The end of a job. Final states never change, so they may be passed on and kept. */
export interface JobEnd {
  id: string;
  state: TerminalState;
}

/** Counts of a job for display, as its leader knows them. */
export interface JobProgress {
  id: string;
  state: JobState;
  done: number;
  running: number;
  exits: Record<string, number>;
  blocked: string;
}

/** A user's request that the sender can't answer: the state service doesn't serve it just now. */
export interface ForwardedRequest {
  from: string;
  id: number;
  method: string;
  path: string;
  body: Buffer;
}

/** The answer to the forwarded request of the same id. */
export interface ForwardedReply {
  id: number;
  status: number;
  body: Buffer;
}

/** All that one message may carry. */
export interface PeerMessage {
  status: PeerStatus | null;
  finals: JobEnd[];
  /** Jobs that the sender has accepted. */
  accepted: string[];
  progress: JobProgress[];
  request: ForwardedRequest | null;
  reply: ForwardedReply | null;
}

/** A message without content. */
export const EMPTY_MESSAGE: Readonly<PeerMessage> = {
  status: null,
  finals: [],
  accepted: [],
  progress: [],
  request: null,
  reply: null,
};

/** The form on the wire. Older versions read and write the same: it can't change. */
const schema: RecordSchema = {
  type: 'record',
  name: 'PeerMessage',
  fields: [
    {
      name: 'status',
      type: [
        'null',
        {
          type: 'record',
          name: 'Status',
          fields: [
            { name: 'host', type: 'string' },
            { name: 'identity', type: 'string' },
            { name: 'stateOkAgeMs', type: 'double' },
            { name: 'leaderHost', type: 'string' },
            { name: 'term', type: 'long' },
            { name: 'wantedWrites', type: 'double' },
            { name: 'strayReports', type: 'double' },
          ],
        },
      ],
    },
    {
      name: 'finals',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'Final',
          fields: [
            { name: 'id', type: 'string' },
            {
              name: 'state',
              type: { type: 'enum', name: 'FinalState', symbols: ['done', 'cancelled'] },
            },
          ],
        },
      },
    },
    { name: 'accepted', type: { type: 'array', items: 'string' } },
    {
      name: 'progress',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'Progress',
          fields: [
            { name: 'id', type: 'string' },
            {
              name: 'state',
              type: {
                type: 'enum',
                name: 'JobState',
                symbols: ['queued', 'running', 'done', 'cancelled'],
              },
            },
            { name: 'done', type: 'int' },
            { name: 'running', type: 'int' },
            { name: 'exits', type: { type: 'map', values: 'int' } },
            { name: 'blocked', type: 'string' },
          ],
        },
      },
    },
    {
      name: 'request',
      type: [
        'null',
        {
          type: 'record',
          name: 'Request',
          fields: [
            { name: 'from', type: 'string' },
            { name: 'id', type: 'long' },
            { name: 'method', type: 'string' },
            { name: 'path', type: 'string' },
            { name: 'body', type: 'bytes' },
          ],
        },
      ],
    },
    {
      name: 'reply',
      type: [
        'null',
        {
          type: 'record',
          name: 'Reply',
          fields: [
            { name: 'id', type: 'long' },
            { name: 'status', type: 'int' },
            { name: 'body', type: 'bytes' },
          ],
        },
      ],
    },
  ],
};

const type = avsc.Type.forSchema(schema);

/** The bytes of a message. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  return type.toBuffer(message);
}

/** Throws on bytes that are not one whole message. */
export function decodePeerMessage(bytes: Buffer): PeerMessage {
  validateAvroEncoding(schema, bytes);
  const value: unknown = type.fromBuffer(bytes);
  return value as PeerMessage;
}
