/** Keys and values of jobs at the state service, which every controller reads and writes. */
import { isMap } from '../wire/cbor.js';
import type { TerminalState } from '../wire/jobs.js';

/** Prefix of the keys of jobs that have not ended. */
export const ACTIVE_PREFIX = 'live/';

/** The key of a job that was accepted and has not ended. */
export function activeKey(id: string): string {
  return ACTIVE_PREFIX + id;
}

/** The key that tells how a job has ended; it never exists together with the live one. */
export function terminalKey(id: string): string {
  return `final/${id}`;
}

/** The value of a job's final key; `at` is the time of its end in milliseconds. */
export function terminalRecord(state: TerminalState, at: number): unknown {
  return { state, at };
}

/** The state in the value of a final key, or null where it can't be read. */
export function readTerminalState(value: unknown): TerminalState | null {
  if (!isMap(value)) return null;
  const { state } = value;
  return state === 'done' || state === 'cancelled' ? state : null;
}
