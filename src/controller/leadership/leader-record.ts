/** The record of the current leader in the state store. */
import { isMap, type Fields } from '../wire/cbor.js';

/** Key of the leader record. The key is bound to the leader's lease, so it exists no longer than the lease. */
export const LEADER_KEY = 'lead';

/** The current leader according to the leader record or to a peer. */
export interface LeaderInfo {
  host: string;
  /**
   * Version of the leader key at its creation. Every write of a leader is conditional on this version, so
   * that an earlier leader can no longer write (design.md, invariant 1).
   */
  term: number;
}

/** The contents of the leader record. */
export interface LeaderRecord extends LeaderInfo {
  /** Distinguishes the leader's process from other processes that have run on the same host. */
  identity: string;
  /** Id of the lease at the state store to which the leader key is bound. */
  leaseId: number;
}

/** Reads the value of the leader key; returns null if it is not a leader record. */
export function readLeaderRecord(value: unknown, version: number): LeaderRecord | null {
  if (!isMap(value)) return null;
  const { host, identity, lease } = value;
  if (typeof host !== 'string' || typeof identity !== 'string' || typeof lease !== 'number')
    return null;
  return { host, identity, leaseId: lease, term: version };
}

/** Returns the value to store under the leader key. The term is not included, as it is the key's version. */
export function writeLeaderRecord(leader: Omit<LeaderRecord, 'term'>): Fields {
  return { host: leader.host, identity: leader.identity, lease: leader.leaseId };
}
