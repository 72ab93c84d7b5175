/** The record of who leads, in the state store. */
import { isMap, type Fields } from '../wire/cbor.js';

/** Key of the leader's record, bound to the leader's lease. */
export const LEADER_KEY = 'lead';

/** Who leads, as the record or a peer says. */
export interface LeaderInfo {
  host: string;
  /** Version of the leader key when it was created (design.md, invariant 1). */
  term: number;
}

/** Who leads, as the record says. */
export interface LeaderRecord extends LeaderInfo {
  /** Tells apart the processes of one host. */
  identity: string;
  /** The lease that the key is bound to. */
  leaseId: number;
}

/** The leader in a value of the key; `null`: the value is not a leader's record. */
export function readLeaderRecord(value: unknown, version: number): LeaderRecord | null {
  if (!isMap(value)) return null;
  const { host, identity, lease } = value;
  if (typeof host !== 'string' || typeof identity !== 'string' || typeof lease !== 'number')
    return null;
  return { host, identity, leaseId: lease, term: version };
}

/** The value of the key; the term is not part of it. */
export function writeLeaderRecord(leader: Omit<LeaderRecord, 'term'>): Fields {
  return { host: leader.host, identity: leader.identity, lease: leader.leaseId };
}
