/** Records which combinations of faults occur in a simulation. */
import type { SimulatedDeployment } from '../simulated-deployment.js';
import { NEW_MACHINE_MS } from './observed-events.js';

/** Maximum time between a cancellation and a handover that count as coinciding, in milliseconds. */
const HANDOVER_WINDOW_MS = 3000;
/** Logged reasons for which a leader steps down in favour of another controller. */
const HANDOVER_REASONS = ['no view of the jobs', 'workers do not reach this node'];

/** Starts to record an observed event each time that a combination of faults occurs. */
export function observeFaultCombinations(simulation: SimulatedDeployment): void {
  const { checker, clock, stateStore, observedEvents } = simulation;
  let cancelledAt = -Infinity;
  let handoverAt = -Infinity;
  const recordIfCancelledAtHandover = (): void => {
    if (Math.abs(cancelledAt - handoverAt) <= HANDOVER_WINDOW_MS)
      observedEvents.record('cancelled at a handover');
  };
  checker.onVisibleChange.push((_, change) => {
    if (change !== 'cancelled') return;
    cancelledAt = clock.now;
    recordIfCancelledAtHandover();
    const { leader } = simulation;
    if (leader !== null && stateStore.isRefusing(leader))
      observedEvents.record('cancelled while the leader alone is refused');
    if (checker.everyTeamAtLimit) observedEvents.record('cancelled with every team at its limit');
  });
  simulation.processes.onKill.push((_, wasLeader) => {
    if (wasLeader && checker.everyTeamAtLimit)
      observedEvents.record('leader killed with every team at its limit');
  });
  simulation.processes.onLog.push((message, fields) => {
    const { reason } = fields as { reason?: string };
    if (message !== 'no longer leader' || !HANDOVER_REASONS.includes(reason ?? '')) return;
    handoverAt = clock.now;
    recordIfCancelledAtHandover();
  });
  checker.onTaskStart.push(({ machine }) => {
    if (simulation.cloud.ageMs(machine) < NEW_MACHINE_MS)
      observedEvents.record('task started on a new machine');
  });
}
