/** Keys and values of job records in the state store. All controllers read and write them. */
import type { ReadResult } from '../store/results.js';
import { isMap } from '../wire/cbor.js';
import { WireError } from '../wire/fields.js';
import { readJobSpec, writeJobSpec, type JobSpec, type TerminalState } from '../wire/jobs.js';
import type { KeyValue } from '../wire/state.js';

/** Prefix of the keys of active jobs. */
export const ACTIVE_PREFIX = 'live/';

/** Prefix of the keys of terminal jobs. */
const TERMINAL_PREFIX = 'final/';

/** Returns the key of a job's active record, which exists from its acceptance to its end. */
export function activeKey(id: string): string {
  return ACTIVE_PREFIX + id;
}

/**
 * Returns the key of a job's terminal record. One transaction replaces the active record by it, so
 * the two never exist together (invariant 3). It is never removed, so that a submission that the
 * network delivers late cannot create the job again (invariant 2).
 */
export function terminalKey(id: string): string {
  return TERMINAL_PREFIX + id;
}

/** Content of a job's active record. */
export interface ActiveRecord {
  spec: JobSpec;
  /** Time of acceptance in wall clock milliseconds; null if the record has none. */
  acceptedAt: number | null;
}

/** Returns the value of an active record; `acceptedAt` is in wall clock milliseconds. */
export function activeRecord(spec: JobSpec, acceptedAt: number): unknown {
  return { job: writeJobSpec(spec), at: acceptedAt };
}

/** Parses the value of an active record. Throws a `WireError` that names the malformed field. */
export function readActiveRecord(value: unknown): ActiveRecord {
  if (!isMap(value)) throw new WireError('job record: expected a map');
  const { job, at } = value;
  return { spec: readJobSpec(job), acceptedAt: typeof at === 'number' ? at : null };
}

/** Returns the value of a terminal record; `endedAt` is in wall clock milliseconds. */
export function terminalRecord(state: TerminalState, endedAt: number): unknown {
  return { state, at: endedAt };
}

/** Parses the value of a terminal record. Returns null if it is malformed. */
export function readTerminalState(value: unknown): TerminalState | null {
  if (!isMap(value)) return null;
  const { state } = value;
  return state === 'done' || state === 'cancelled' ? state : null;
}

/**
 * Returns the terminal state from the result of reading a terminal record, or null if the read has
 * failed, the record does not exist or it is malformed.
 */
export function terminalStateIn(read: ReadResult<KeyValue | null>): TerminalState | null {
  return read.kind === 'ok' && read.value !== null ? readTerminalState(read.value.value) : null;
}
