/** Outcomes of calls to the state service. */

/** Outcome of a transaction. */
export type TransactionResult =
  | { kind: 'ok'; revision: number }
  | { kind: 'conflict'; failedKeys: string[] }
  /** Surely not carried out: no tokens, 429 or 503. */
  | { kind: 'refused' }
  /** The lease named in a put has ended. Not carried out. */
  | { kind: 'no-lease' }
  /** A value or the whole is larger than the service takes, or it finds fault. Not carried out. */
  | { kind: 'too-large' }
  /** No response: carried out, or not, or later. */
  | { kind: 'unknown' };

/** Outcome of a call that returns a value. */
export type ReadResult<Value> = { kind: 'ok'; value: Value } | { kind: 'failed' };

/** Outcome of the renewal of a lease; `ended`: the service has the lease no more. */
export type RenewalOutcome = 'ok' | 'ended' | 'failed';
