/** Detects that the workers cannot reach the leader although they may reach other controllers. */
import type { PeerStatus } from '../peers/message.js';

/**
 * The workers are considered running if peers receive heartbeats at no less than this share of the rate at
 * which all machines together send them.
 */
const MIN_REDIRECTED_SHARE = 0.1;
/** The leader is isolated if a larger share of the machines is overdue while peers receive heartbeats. */
const OVERDUE_SHARE = 0.5;
/** The leader is isolated if a larger share of the machines is overdue while no peer sends a status. */
const UNRESPONSIVE_SHARE = 0.9;

/** How well the workers reach the leader. */
export interface WorkerReachability {
  heartbeatIntervalMs: number;
  machineCount: number;
  /**
   * Returns the share, from 0 to 1, of the machines whose heartbeats are overdue by more than `minOverdueMs`.
   * With `onlySeenInThisTerm` only machines that have sent a heartbeat in this term are counted.
   */
  overdueShare(minOverdueMs: number, onlySeenInThisTerm: boolean): number;
}

/**
 * Whether the workers cannot reach this node although they are running. An isolated leader keeps renewing
 * its lease, so no other node would answer the workers, and every task would be stopped when its worker's
 * lease expires. The evidence is that workers send heartbeats to peers instead. If no peer sends a status,
 * there is no such evidence, and missing heartbeats alone are sufficient. In this case only machines that
 * have sent a heartbeat in this term are counted: otherwise a leader could not distinguish its own isolation
 * from a loss of the machines.
 */
export function isIsolated(
  workers: WorkerReachability,
  peers: readonly Pick<PeerStatus, 'strayReports'>[],
): boolean {
  const { heartbeatIntervalMs, machineCount } = workers;
  const redirectedPerSecond = peers.reduce((sum, peer) => sum + peer.strayReports, 0);
  const expectedPerSecond = (machineCount / heartbeatIntervalMs) * 1000;
  const workersReachPeers = redirectedPerSecond >= expectedPerSecond * MIN_REDIRECTED_SHARE;
  if (workersReachPeers && workers.overdueShare(0, false) > OVERDUE_SHARE) return true;
  return peers.length === 0 && workers.overdueShare(heartbeatIntervalMs, true) > UNRESPONSIVE_SHARE;
}
