/**
 * The Avro schema of the messages between controllers. The names, types and order of the fields must not
 * change: messages carry no version number, and controllers that still run an older version of the program use
 * the same schema.
 */
import type { RecordSchema, Schema } from './avro-validation.js';

/** Returns the schema of a record whose fields are encoded in the given order. */
function record(name: string, fields: Record<string, Schema>): RecordSchema {
  const fieldEntries = Object.entries(fields);
  return {
    type: 'record',
    name,
    fields: fieldEntries.map(([field, type]) => ({ name: field, type })),
  };
}

function arrayOf(items: Schema): Schema {
  return { type: 'array', items };
}

function optional(schema: RecordSchema): Schema {
  return ['null', schema];
}

const STATUS = record('Status', {
  host: 'string',
  identity: 'string',
  stateOkAgeMs: 'double',
  leaderHost: 'string',
  term: 'long',
  wantedWrites: 'double',
  strayReports: 'double',
});

const JOB_END = record('Final', {
  id: 'string',
  state: { type: 'enum', name: 'FinalState', symbols: ['done', 'cancelled'] },
});

const JOB_PROGRESS = record('Progress', {
  id: 'string',
  state: { type: 'enum', name: 'JobState', symbols: ['queued', 'running', 'done', 'cancelled'] },
  done: 'int',
  running: 'int',
  exits: { type: 'map', values: 'int' },
  blocked: 'string',
});

const FORWARDED_REQUEST = record('Request', {
  from: 'string',
  id: 'long',
  method: 'string',
  path: 'string',
  body: 'bytes',
});

const FORWARDED_REPLY = record('Reply', {
  id: 'long',
  status: 'int',
  body: 'bytes',
});

/** The Avro schema of a `PeerMessage`. */
export const PEER_MESSAGE_SCHEMA: RecordSchema = record('PeerMessage', {
  status: optional(STATUS),
  finals: arrayOf(JOB_END),
  accepted: arrayOf('string'),
  progress: arrayOf(JOB_PROGRESS),
  request: optional(FORWARDED_REQUEST),
  reply: optional(FORWARDED_REPLY),
});
