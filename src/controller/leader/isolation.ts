/** Detects that the workers cannot reach the leader although they may reach other controllers. */
import type { PeerStatus } from '../peers/message.js';

/**
 * If peers receive at least this share of the heartbeats that all machines should send, the workers are
 * considered running.
 */
const MIN_REDIRECTED_SHARE = 0.1;
/** When peers receive heartbeats, the leader is isolated if more than this share of the machines is overdue. */
const OVERDUE_SHARE = 0.5;
/**
 * When no peer sends a status, the leader is isolated if more than this share of the machines is overdue by
 * more than a heartbeat interval. Only machines that have sent a heartbeat in this term are counted.
 */
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
 * lease expires. Heartbeats that workers send to peers instead are the evidence that the workers are running.
 * If no peer sends a status, this evidence is not available, and missing heartbeats alone are sufficient.
 * Only machines that have sent a heartbeat in this term are then counted: otherwise a leader could not
 * distinguish its own isolation from a loss of the machines.
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
