/** Fault scenarios about machines, and about messages between them and controllers. */
import type { Fault } from '../faults/scripted/fault.js';
import {
  cancelledWhileRunning,
  expiredLeases,
  failovers,
  type FaultScenario,
} from './fault-scenario.js';

/**
 * Scenarios in which machines are lost, are cut off or hang, or in which commands, responses and
 * heartbeats are late.
 */
export const machineScenarios: FaultScenario[] = [
  {
    name: 'messages to and from machines are held back for seconds while jobs are cancelled',
    jobs: { estimatedRunS: 15 },
    jobCount: 20,
    faults: (between) =>
      [0, 15, 30, 45].flatMap((at): Fault[] => [
        { kind: 'commandsHeldBack', share: 0.4, at, for: between(2, 30) },
        { kind: 'responsesHeldBack', share: 0.4, at: at + 3, for: between(2, 30) },
        { kind: 'jobsCancelled', count: 2, at: at + 4, hang: between(1, 20) },
        { kind: 'jobsSubmitted', count: 4, at: at + 5 },
      ]),
    expectedEvents: (simulation) => ({ cancelled: cancelledWhileRunning(simulation) }),
  },
  {
    name: 'machines receive commands but send no heartbeats, then send heartbeats but receive nothing',
    jobs: { estimatedRunS: 30 },
    jobCount: 20,
    faults: (between) => [
      { kind: 'heartbeatsBlocked', share: 0.6, at: 0, for: between(10, 40) },
      { kind: 'jobsCancelled', count: 3, at: between(1, 10) },
      { kind: 'jobsSubmitted', count: 6, at: 5 },
      { kind: 'inboundBlocked', share: 0.6, at: 30, for: between(10, 60) },
      { kind: 'jobsSubmitted', count: 6, at: 35 },
      { kind: 'jobsCancelled', count: 3, at: 36 },
    ],
    expectedEvents: (simulation) => ({
      cancelled: cancelledWhileRunning(simulation),
      expiredLeases: expiredLeases(simulation),
      directCommands: simulation.observedEvents.count(
        'direct command to a machine with blocked heartbeats',
      ),
    }),
  },
  {
    name: 'new leaders receive old heartbeats, of earlier agent epochs and attempts, after newer ones',
    jobs: { estimatedRunS: 15 },
    jobCount: 25,
    faults: (between) => [
      { kind: 'duplicatedHeartbeats', share: 0.5, at: 0, for: 90 },
      { kind: 'machinesCutOff', share: 0.4, at: 5, for: between(21, 40) },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 6, at: between(10, 20) },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 0.4, at: between(40, 50) },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 6, at: between(70, 80) },
      { kind: 'jobsSubmitted', count: 10, at: 40 },
      { kind: 'jobsSubmitted', count: 10, at: 75 },
    ],
    expectedEvents: (simulation) => ({
      duplicatesDelivered: simulation.network.duplicatesDelivered,
      failovers: failovers(simulation),
      expiredLeases: expiredLeases(simulation),
    }),
  },
  {
    name: 'machines are lost and the leader is killed while the tasks of each job must share a zone',
    jobs: { estimatedRunS: 40, singleZone: true, spread: false, zone: null, types: null, tasks: 3 },
    jobCount: 14,
    faults: (between) => [
      { kind: 'machinesCutOff', share: 0.5, at: 3, for: between(20, 60) },
      { kind: 'machinesLost', share: 0.2, at: between(5, 20) },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 6, at: between(10, 25) },
    ],
    expectedEvents: (simulation) => ({ failovers: failovers(simulation) }),
  },
];
