/**
 * The Avro schema of the messages between controllers. Messages carry no version, and older versions
 * of the program read and write the same schema: no name, type or order in it can change.
 */
import type { RecordSchema, Schema } from './avro-validation.js';

const STATUS: RecordSchema = {
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
};

const JOB_END: RecordSchema = {
  type: 'record',
  name: 'Final',
  fields: [
    { name: 'id', type: 'string' },
    { name: 'state', type: { type: 'enum', name: 'FinalState', symbols: ['done', 'cancelled'] } },
  ],
};

const JOB_STATE: Schema = {
  type: 'enum',
  name: 'JobState',
  symbols: ['queued', 'running', 'done', 'cancelled'],
};

const JOB_PROGRESS: RecordSchema = {
  type: 'record',
  name: 'Progress',
  fields: [
    { name: 'id', type: 'string' },
    { name: 'state', type: JOB_STATE },
    { name: 'done', type: 'int' },
    { name: 'running', type: 'int' },
    { name: 'exits', type: { type: 'map', values: 'int' } },
    { name: 'blocked', type: 'string' },
  ],
};

const FORWARDED_REQUEST: RecordSchema = {
  type: 'record',
  name: 'Request',
  fields: [
    { name: 'from', type: 'string' },
    { name: 'id', type: 'long' },
    { name: 'method', type: 'string' },
    { name: 'path', type: 'string' },
    { name: 'body', type: 'bytes' },
  ],
};

const FORWARDED_REPLY: RecordSchema = {
  type: 'record',
  name: 'Reply',
  fields: [
    { name: 'id', type: 'long' },
    { name: 'status', type: 'int' },
    { name: 'body', type: 'bytes' },
  ],
};

/** The schema of a `PeerMessage`. */
export const PEER_MESSAGE_SCHEMA: RecordSchema = {
  type: 'record',
  name: 'PeerMessage',
  fields: [
    { name: 'status', type: ['null', STATUS] },
    { name: 'finals', type: { type: 'array', items: JOB_END } },
    { name: 'accepted', type: { type: 'array', items: 'string' } },
    { name: 'progress', type: { type: 'array', items: JOB_PROGRESS } },
    { name: 'request', type: ['null', FORWARDED_REQUEST] },
    { name: 'reply', type: ['null', FORWARDED_REPLY] },
  ],
};
