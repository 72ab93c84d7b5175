/** Adapts fault scenarios to the deployment with short leases, and adds scenarios only for it. */
import { defaultPlatformOptions } from '../../platform.js';
import { shortLeases, shortLeasesWithLowerLimits } from '../deployments/short-leases.js';
import type { Fault } from '../faults/scripted/fault.js';
import {
  cancelledWhileRunning,
  expiredLeases,
  failovers,
  longJobs,
  type FaultScenario,
} from './fault-scenario.js';

/** Value of `lease_s` in the deployment with short leases, as a fraction of the default value. */
const LEASE_RATIO = shortLeases.platform.leaseS / defaultPlatformOptions.leaseS;
/** Value of `cancel_s` in the deployment with short leases, as a fraction of the default value. */
const CANCEL_RATIO = shortLeases.platform.cancelDeadlineS / defaultPlatformOptions.cancelDeadlineS;
/**
 * Latest start time of a fault, in seconds, that is scaled with the lease. Later start times are shifted
 * by a constant.
 */
const SCALED_UNTIL_S = 10;

/** Converts the time at which a fault begins, in seconds, to the deployment with short leases. */
function scaledTime(seconds: number): number {
  const scaledPart = Math.min(seconds, SCALED_UNTIL_S);
  return scaledPart * LEASE_RATIO + (seconds - scaledPart);
}

/**
 * Converts a duration in seconds. A duration longer than `cancel_s` scales with `cancel_s`, so that
 * it stays longer than `cancel_s`; other durations scale with the lease.
 */
function scaledDuration(seconds: number): number {
  return seconds * (seconds > defaultPlatformOptions.cancelDeadlineS ? CANCEL_RATIO : LEASE_RATIO);
}

function scaleFault(fault: Fault): Fault {
  const scaledFault = { ...fault, at: scaledTime(fault.at) };
  if (scaledFault.for !== undefined && LEASE_RELATED.has(scaledFault.kind))
    scaledFault.for = scaledDuration(scaledFault.for);
  if ('hang' in scaledFault) scaledFault.hang = scaledDuration(scaledFault.hang);
  if ('cut' in scaledFault) scaledFault.cut = scaledDuration(scaledFault.cut);
  return scaledFault;
}

/**
 * Faults whose effect depends on the ratio of their duration to a lease. The durations of other faults
 * only bound the time of an activity and are not scaled.
 */
const LEASE_RELATED: ReadonlySet<Fault['kind']> = new Set([
  ...([
    'stateStoreRefuses',
    'stateStoreOutage',
    'controllersIsolated',
    'controllersFrozen',
    'cutOffFromWorkers',
    'zoneCutOff',
  ] as const),
  ...(['machinesCutOff', 'inboundBlocked', 'heartbeatsBlocked', 'machinesHang'] as const),
  ...(['commandsHeldBack', 'responsesHeldBack'] as const),
]);

/** Adapts a scenario to the deployment with short leases. */
export function withShortLeases(scenario: FaultScenario): FaultScenario {
  return {
    ...scenario,
    deployment: scenario.deployment === undefined ? shortLeases : shortLeasesWithLowerLimits,
    faults: (between) => scenario.faults(between).map(scaleFault),
  };
}

/** Scenarios that cut off the zone with a single controller, which is the leader or a follower. */
export const singleControllerZone: FaultScenario[] = [
  {
    name: 'the zone with a single controller, the leader, is cut off for longer than lease_s',
    jobs: longJobs,
    jobCount: 16,
    deployment: shortLeases,
    faults: (between) => [
      { kind: 'leaderMoved', host: 'kiln-2', restartAfter: 4, at: 0 },
      { kind: 'zoneCutOff', zone: 'b', inside: 'leader', at: 12, for: between(15, 45) },
      { kind: 'jobsCancelled', count: 5, elsewhere: true, at: between(14, 18) },
      { kind: 'jobsSubmitted', count: 6, template: longJobs, at: 16 },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      leaderAloneInZone: simulation.observedEvents.count('leader alone in its zone'),
      leaderElectedOutside: simulation.observedEvents.count(
        'leader elected outside a zone that is cut off',
      ),
      tasksStarted: simulation.observedEvents.count('task started while a zone is cut off'),
      cancelled: cancelledWhileRunning(simulation),
      expiredLeases: expiredLeases(simulation),
    }),
  },
  {
    name: 'the zone with a single controller, a follower, is cut off and the leader is killed',
    jobs: longJobs,
    jobCount: 16,
    deployment: shortLeases,
    faults: (between) => [
      { kind: 'leaderMoved', host: 'kiln-0', restartAfter: 4, at: 0 },
      { kind: 'zoneCutOff', zone: 'b', inside: 'single', at: 12, for: between(15, 45) },
      { kind: 'jobsCancelled', count: 5, at: between(14, 18) },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.2, 6),
        at: between(15, 20),
      },
      { kind: 'jobsSubmitted', count: 6, template: longJobs, at: 16 },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      tasksStarted: simulation.observedEvents.count('task started while a zone is cut off'),
      cancelled: cancelledWhileRunning(simulation),
      expiredLeases: expiredLeases(simulation),
    }),
  },
];
