/** Requests of the state store's protocol: methods, paths and bodies. */
import { writeTransaction, type Condition, type Write } from './state.js';

/** A request to the state store. */
export interface StateRequest {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  /** Body before its encoding; absent if the request has no body. */
  body?: unknown;
}

/** Request to commit a transaction: all writes if every condition holds, otherwise none. */
export function transactionRequest(conditions: Condition[], writes: Write[]): StateRequest {
  return { method: 'POST', path: '/multi', body: writeTransaction(conditions, writes) };
}

/** Request to read one key. */
export function readKeyRequest(key: string): StateRequest {
  return { method: 'GET', path: `/keys/${key}` };
}

/**
 * Request to read up to `limit` keys that start with `prefix`, in ascending order: the first ones after the
 * key `after`, or from the first key on if `after` is null.
 */
export function readRangeRequest(
  prefix: string,
  after: string | null,
  limit: number,
): StateRequest {
  const fromParameter = after === null ? '' : `&from=${after}`;
  return { method: 'GET', path: `/keys?starts=${prefix}${fromParameter}&limit=${limit}` };
}

/**
 * Request for the changes since `revision` of keys that start with `prefix`. The store responds at the first
 * change, or after `holdMs` without one.
 */
export function watchRequest(prefix: string, revision: number, holdMs: number): StateRequest {
  const roundedHoldMs = Math.round(holdMs);
  return {
    method: 'GET',
    path: `/follow?starts=${prefix}&from=${revision}&hold_ms=${roundedHoldMs}`,
  };
}

/** Request for a lease that expires `ttlMs` after it was granted or last renewed. */
export function grantLeaseRequest(ttlMs: number): StateRequest {
  return { method: 'POST', path: '/holds', body: { life_ms: ttlMs } };
}

/** Request to renew a lease. */
export function renewLeaseRequest(lease: number): StateRequest {
  return { method: 'POST', path: `/holds/${lease}/extend`, body: {} };
}

/** Request to revoke a lease, which deletes all keys that are bound to it. */
export function revokeLeaseRequest(lease: number): StateRequest {
  return { method: 'DELETE', path: `/holds/${lease}` };
}
