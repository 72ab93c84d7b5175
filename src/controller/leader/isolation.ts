/** Detects that the workers reach the other controllers and not the leader. */
import type { PeerStatus } from '../peers/message.js';

/** Heartbeats at other nodes that show that workers are up, as a share of the usual rate of all. */
const REDIRECTED_HEARTBEATS_SHARE = 0.1;
/** Share of the machines that are overdue here, where peers tell of their heartbeats. */
const OVERDUE_SHARE = 0.5;
/** Share of the machines that are unresponsive here, where no peer is heard either. */
const UNRESPONSIVE_SHARE = 0.9;

/** What the leader sees of the workers. */
export interface WorkerReachability {
  heartbeatIntervalMs: number;
  machineCount: number;
  /**
   * Share of the machines whose heartbeats are late by `lateMs`; `onlyHeardInThisTerm`: of those
   * that have sent one in this term.
   */
  overdueShare(minOverdueMs: number, onlySeenInThisTerm: boolean): number;
}

/**
 * Whether the workers have lost this node and not the others. Its lease goes on, so nobody else
 * would answer them, and every task would end with its worker's lease. Their heartbeats at the other
 * nodes are the proof. Where the peers are not heard either, missing heartbeats have to do, but only
 * those of machines that have sent some in this term: without them a leader could not tell its own
 * isolation from the loss of the machines.
 */
export function isIsolated(
  workers: WorkerReachability,
  peers: readonly Pick<PeerStatus, 'strayReports'>[],
): boolean {
  const { heartbeatIntervalMs, machineCount } = workers;
  const redirectedPerSecond = peers.reduce((sum, peer) => sum + peer.strayReports, 0);
  const expectedPerSecond = (machineCount / heartbeatIntervalMs) * 1000;
  const workersReachPeers = redirectedPerSecond >= expectedPerSecond * REDIRECTED_HEARTBEATS_SHARE;
  if (workersReachPeers && workers.overdueShare(0, false) > OVERDUE_SHARE) return true;
  return peers.length === 0 && workers.overdueShare(heartbeatIntervalMs, true) > UNRESPONSIVE_SHARE;
}
