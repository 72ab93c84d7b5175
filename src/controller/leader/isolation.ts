/** Tells whether the workers reach the other controllers and not the leader. */
import type { PeerStatus } from '../peers/message.js';

/** Reports at other nodes that show that workers are there, as a share of all that are usual. */
const REDIRECTED_HEARTBEATS_SHARE = 0.1;
/** Share of the machines that are overdue here, where peers tell of reports. */
const OVERDUE_SHARE = 0.5;
/** Share of the machines that are silent here, where no peer is heard either. */
const SILENT_SHARE = 0.9;

/** What the leader sees of the workers. */
export interface WorkerReachability {
  reportMs: number;
  machineCount: number;
  /**
   * Share of machines whose reports are late by `lateMs`; `heardBefore`: only of those that had
   * reported in this term.
   */
  overdue(lateMs: number, heardBefore: boolean): number;
}

/**
 * Whether the workers have lost this node and not the others. Its lease goes on, so nobody else
 * would answer them, and every task would end with its worker's lease. Their reports at the other
 * nodes are the proof; where the peers are not heard either, silence has to do, but only of
 * machines that had reported here: a leader that never heard any has nothing to tell it from a day
 * on which the machines themselves are gone.
 */
export function isIsolated(
  reachability: WorkerReachability,
  peers: readonly Pick<PeerStatus, 'strayReports'>[],
): boolean {
  const forwarded = peers.reduce((sum, peer) => sum + peer.strayReports, 0);
  const usual = (reachability.machineCount / reachability.reportMs) * 1000;
  const reachOthers = forwarded >= usual * REDIRECTED_HEARTBEATS_SHARE;
  if (reachOthers && reachability.overdue(0, false) > OVERDUE_SHARE) return true;
  return peers.length === 0 && reachability.overdue(reachability.reportMs, true) > SILENT_SHARE;
}
