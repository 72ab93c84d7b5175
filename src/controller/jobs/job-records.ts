/** Keys and values of jobs in the state store, which every controller reads and writes. */
import type { ReadResult } from '../store/results.js';
import { isMap } from '../wire/cbor.js';
import { WireError } from '../wire/fields.js';
import { readJobSpec, writeJobSpec, type JobSpec, type TerminalState } from '../wire/jobs.js';
import type { KeyValue } from '../wire/state.js';

/** Prefix of the keys of active jobs. */
export const ACTIVE_PREFIX = 'live/';

/** Prefix of the keys of jobs that have ended. */
const TERMINAL_PREFIX = 'final/';

/** The key of a job that was accepted and has not ended. */
export function activeKey(id: string): string {
  return ACTIVE_PREFIX + id;
}

/**
 * The key that tells how a job has ended. It never exists together with the active one, and is
 * never removed (invariants 2 and 3).
 */
export function terminalKey(id: string): string {
  return TERMINAL_PREFIX + id;
}

/** An active job as it is stored. */
export interface ActiveRecord {
  spec: JobSpec;
  /** Time of acceptance by the wall clock in milliseconds; null: not on record. */
  acceptedAt: number | null;
}

/** The value of a job's active key; `acceptedAt` is the wall clock in milliseconds. */
export function activeRecord(spec: JobSpec, acceptedAt: number): unknown {
  return { job: writeJobSpec(spec), at: acceptedAt };
}

/** Reads the value of an active key; throws a WireError that names what is malformed. */
export function readActiveRecord(value: unknown): ActiveRecord {
  if (!isMap(value)) throw new WireError('job record: expected a map');
  const { job, at } = value;
  return { spec: readJobSpec(job), acceptedAt: typeof at === 'number' ? at : null };
}

/** The value of a job's terminal key; `endedAt` is the wall clock in milliseconds. */
export function terminalRecord(state: TerminalState, endedAt: number): unknown {
  return { state, at: endedAt };
}

/** Reads the value of a terminal key; null: it is malformed. */
export function readTerminalState(value: unknown): TerminalState | null {
  if (!isMap(value)) return null;
  const { state } = value;
  return state === 'done' || state === 'cancelled' ? state : null;
}

/**
 * The terminal state in what was read under a terminal key. Null: nothing is stored there, or it
 * could not be read. A malformed record counts as one that could not be read.
 */
export function terminalStateIn(read: ReadResult<KeyValue | null>): TerminalState | null {
  return read.kind === 'ok' && read.value !== null ? readTerminalState(read.value.value) : null;
}
