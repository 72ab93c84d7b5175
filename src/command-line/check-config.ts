/** Report of the command `check-config`: durations and limits derived from the settings. */
import { oldGenerationMb } from '../controller/runtime/heap-budget.js';
import type { Settings } from '../controller/settings/settings.js';

/** Returns the report, with one fact per line. */
export function checkConfig(settings: Settings): string {
  const { host, peers, teams, quota } = settings.platform;
  const usableLeaseMs = Math.round(settings.usableLeaderLeaseMs);
  const lines = [
    `host ${host}, ${peers.length} peers, ${teams.length} teams`,
    `leader lease ${settings.leaderLeaseMs} ms, renewed every ${settings.leaderRenewIntervalMs} ms, used for ${usableLeaseMs} ms`,
    `a silent worker's tasks are gone after ${Math.round(settings.workerLeaseExpiryMs)} ms`,
    `workers are answered on a view of cancellations at most ${Math.round(settings.maxWatchStalenessMs)} ms old`,
    `heap keeps at most ${oldGenerationMb(quota)} MB of ${quota.ramMb} MB`,
  ];
  return `${lines.join('\n')}\n`;
}
