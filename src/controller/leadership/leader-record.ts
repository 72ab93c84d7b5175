/** The record of who leads, at the state service. */
import { isMap } from '../wire/cbor.js';

/** Key of the leader's record, bound to the leader's lease. */
export const LEADER_KEY = 'lead';

/** Who leads, as the record or a peer says. */
export interface LeaderInfo {
  host: string;
  /** Tells apart the processes of one host. */
  identity: string;
  /** The lease that the key is bound to. */
  lease: number;
  /** Version of the key: the leader's term. */
  term: number;
}

/** The leader in a value of the key, or null where it can't be read. */
export function readLeader(value: unknown, version: number): LeaderInfo | null {
  if (!isMap(value)) return null;
  const { host, identity, lease } = value;
  if (typeof host !== 'string' || typeof identity !== 'string' || typeof lease !== 'number')
    return null;
  return { host, identity, lease, term: version };
}
