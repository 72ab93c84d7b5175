/** Division of the state store's write rate among the controllers. */

/** A controller's role, and the rate of writes that it would make without limits. */
export interface WriteDemand {
  isLeader: boolean;
  /** Number of puts and deletes that the controller would make per second without limits. */
  writesPerSecond: number;
}

/**
 * This fraction of a controller's fixed share is added to the controller's demand. An idle controller
 * therefore also gets a share, since it may have to write at any time.
 */
const IDLE_WEIGHT_RATIO = 0.15;

/**
 * Returns the share of the state store's writes that a controller may use, from 0 to 1. Each controller has
 * a fixed share by its role: `followersShare` is split evenly among the followers, and the leader has the
 * remaining share. The fixed shares of the controllers with known demands are pooled and divided by demand.
 * A peer whose demand is unknown (`null`) may use its full fixed share. The shares therefore add up to at
 * most 1, regardless of which demands each controller knows.
 *
 * @param own - the demand of this controller
 * @param peers - the demands of all other controllers; null if unknown
 * @param followersShare - the fixed share of all followers together
 * @param writesPerSecondLimit - the store's limit, which converts shares to rates
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
