/** Outcomes of calls to the state store. */

/** Outcome of a compare-and-swap transaction. */
export type TransactionResult =
  | { kind: 'ok'; revision: number }
  /** Conditions did not hold, or another node wrote at the same time. Not carried out. */
  | { kind: 'conflict'; failedKeys: string[] }
  /** The store refused the transaction (429 or 503), or it was never sent. Not carried out. */
  | { kind: 'refused' }
  /** The lease that a put is bound to has expired. Not carried out. */
  | { kind: 'lease-expired' }
  /** A value or the transaction exceeds the store's limits, or has another fault. Not carried out. */
  | { kind: 'too-large' }
  /** No response, or a malformed one. The transaction may have been carried out, or may be carried out later. */
  | { kind: 'unknown' };

/** Outcome of a call that returns a value. */
export type ReadResult<Value> = { kind: 'ok'; value: Value } | { kind: 'failed' };

/** Outcome of the renewal of a lease. `expired` means that the store no longer has the lease. */
export type RenewalOutcome = 'ok' | 'expired' | 'failed';

/**
 * Outcome of one request of a watch. `too-old` means that the store no longer has all changes since the
 * given revision, so the keys must be read again.
 */
export type WatchResult<Value> = ReadResult<Value> | { kind: 'too-old' };
