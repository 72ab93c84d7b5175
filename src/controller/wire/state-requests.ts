/** The requests of the state store's protocol: methods, paths and bodies. */
import { writeTransaction, type Condition, type Write } from './state.js';

/** A request to the state store. */
export interface StateRequest {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  /** Absent: no body. */
  body?: unknown;
}

/** A compare-and-swap transaction. */
export function transactionRequest(conditions: Condition[], writes: Write[]): StateRequest {
  return { method: 'POST', path: '/multi', body: writeTransaction(conditions, writes) };
}

/** Reads one key. */
export function readKeyRequest(key: string): StateRequest {
  return { method: 'GET', path: `/keys/${key}` };
}

/** Reads up to `limit` keys of a prefix, those behind `after`; null: from the first. */
export function readRangeRequest(
  prefix: string,
  after: string | null,
  limit: number,
): StateRequest {
  const fromParameter = after === null ? '' : `&from=${after}`;
  return { method: 'GET', path: `/keys?starts=${prefix}${fromParameter}&limit=${limit}` };
}

/** Waits for up to `holdMs` for changes of a prefix since a revision. */
export function watchRequest(prefix: string, revision: number, holdMs: number): StateRequest {
  const roundedHoldMs = Math.round(holdMs);
  return {
    method: 'GET',
    path: `/follow?starts=${prefix}&from=${revision}&hold_ms=${roundedHoldMs}`,
  };
}

/** Asks for a lease that lives for `ttlMs` without renewal. */
export function grantLeaseRequest(ttlMs: number): StateRequest {
  return { method: 'POST', path: '/holds', body: { life_ms: ttlMs } };
}

/** Renews a lease. */
export function renewLeaseRequest(lease: number): StateRequest {
  return { method: 'POST', path: `/holds/${lease}/extend`, body: {} };
}

/** Ends a lease, and deletes all keys that are bound to it. */
export function revokeLeaseRequest(lease: number): StateRequest {
  return { method: 'DELETE', path: `/holds/${lease}` };
}
