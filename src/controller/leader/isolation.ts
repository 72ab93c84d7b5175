/** Detects that the workers cannot reach the leader although they may reach other controllers. */
import type { PeerStatus } from '../peers/message.js';

/**
 * Least rate of heartbeats received by peers that shows that the workers are running, as a share of the rate
 * at which all machines together send heartbeats.
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
 * lease expires. Heartbeats that workers send to peers are the evidence. If no peer sends a status either,
 * missing heartbeats are sufficient, but only of machines that have sent one in this term: if others were
 * counted, a leader could not distinguish its own isolation from a loss of the machines.
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
