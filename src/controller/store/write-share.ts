/** How the controllers share the state store's rate of writes. */

/** What a controller would write, as far as is known. */
export interface WriteDemand {
  isLeader: boolean;
  /** Puts and deletes that it would make a second. */
  writesPerSecond: number;
}

/** Ratio of its fixed share for which an idle controller counts: it may want to write at any time. */
const IDLE_WEIGHT_RATIO = 0.15;

/**
 * The share of the state store's writes that a controller may use, from 0 to 1. Each has a fixed share
 * by its role: `followersShare` is split evenly among the followers, the leader has the rest. Those
 * whose demands are known put their fixed shares together and split the sum by demand. A peer whose
 * demand is unknown (`null`) may use its fixed share in full; so the shares never add up to more than
 * 1, whoever has heard from whom.
 *
 * `writesPerSecondLimit`: the store's limit, by which shares are weighed against demands.
 */
export function writeShare(
  own: WriteDemand,
  peers: readonly (WriteDemand | null)[],
  followersShare: number,
  writesPerSecondLimit: number,
): number {
  const fixedShare = ({ isLeader }: WriteDemand): number => {
    if (peers.length === 0) return 1;
    return isLeader ? 1 - followersShare : followersShare / peers.length;
  };
  const weight = (demand: WriteDemand): number =>
    demand.writesPerSecond + IDLE_WEIGHT_RATIO * fixedShare(demand) * writesPerSecondLimit;
  const ownWeight = weight(own);
  let pooledShare = fixedShare(own);
  let totalWeight = ownWeight;
  for (const peer of peers) {
    if (peer === null) continue;
    pooledShare += fixedShare(peer);
    totalWeight += weight(peer);
  }
  return (Math.min(1, pooledShare) * ownWeight) / totalWeight;
}
