/** Fault scenarios in which controllers are killed, freeze or are cut off. */
import {
  cancelledWhileRunning,
  expiredLeases,
  failovers,
  longJobs,
  type FaultScenario,
} from './fault-scenario.js';

/** Scenarios in which controllers are killed, freeze or are cut off, alone or with their zone. */
export const controllerScenarios: FaultScenario[] = [
  {
    name: 'the leader freezes and resumes while jobs are cancelled at other controllers',
    jobs: longJobs,
    jobCount: 14,
    faults: (between) => [
      { kind: 'controllersFrozen', target: 'leader', at: 0, for: between(1, 2.5) },
      { kind: 'jobsCancelled', count: 4, elsewhere: true, at: 0.2, hang: 15 },
      { kind: 'controllersFrozen', target: 'leader', at: 20, for: between(5, 40) },
      { kind: 'jobsCancelled', count: 4, elsewhere: true, at: 21, hang: between(1, 20) },
      { kind: 'slowStateStore', at: 0, for: 60 },
    ],
    expectedEvents: (simulation) => ({
      cancelled: cancelledWhileRunning(simulation),
      failovers: failovers(simulation),
    }),
  },
  {
    name: 'all controllers are down for longer than lease_s after cancellations, while machines hang',
    jobs: longJobs,
    jobCount: 14,
    faults: (between) => [
      { kind: 'jobsCancelled', count: 3, at: 0 },
      {
        kind: 'controllersKilled',
        target: 'all',
        restartAfter: between(21, 50),
        at: between(0.05, 1),
      },
      { kind: 'machinesHang', share: 0.3, at: 0, for: between(15, 60) },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      expiredLeases: expiredLeases(simulation),
    }),
  },
  {
    name: 'the leader is cut off from the state store and its peers, but not from workers and users',
    jobs: longJobs,
    jobCount: 14,
    faults: (between) => [
      { kind: 'controllersIsolated', target: 'leader', at: 0, for: between(10, 60) },
      { kind: 'jobsCancelled', count: 3, elsewhere: true, at: 1 },
      { kind: 'jobsCancelled', count: 4, elsewhere: true, at: between(4, 8) },
      { kind: 'duplicatedHeartbeats', share: 0.3, at: 0, for: 30 },
    ],
    expectedEvents: (simulation) => ({
      cancelled: cancelledWhileRunning(simulation),
      failovers: failovers(simulation),
      duplicatesDelivered: simulation.network.duplicatesDelivered,
    }),
  },
  {
    name: 'the leader is cut off from its workers twice, then all controllers are killed',
    jobs: { estimatedRunS: 40 },
    jobCount: 16,
    faults: (between) => [
      { kind: 'cutOffFromWorkers', target: 'leader', at: 0, for: 20 },
      { kind: 'cutOffFromWorkers', target: 'leader', at: 25, for: 15 },
      { kind: 'controllersKilled', target: 'others', restartAfter: 30, at: 45 },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.1, 1),
        at: between(45, 50),
      },
      { kind: 'jobsCancelled', count: 3, at: 46 },
    ],
    expectedEvents: (simulation) => ({ failovers: failovers(simulation) - 1 }),
  },
  {
    name: 'the leader is killed while machines are cut off or receive nothing from controllers',
    jobs: longJobs,
    jobCount: 12,
    faults: (between) => [
      { kind: 'machinesCutOff', share: 0.4, at: 0, for: between(25, 50) },
      { kind: 'inboundBlocked', share: 0.5, at: 1, for: between(30, 50) },
      { kind: 'controllersKilled', target: 'leader', restartAfter: between(0.2, 6), at: 2 },
      { kind: 'jobsSubmitted', count: 6, at: 10 },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      expiredLeases: expiredLeases(simulation),
    }),
  },
  {
    name: 'a zone with workers and the leader is cut off for longer than lease_s',
    jobs: longJobs,
    jobCount: 16,
    faults: (between) => [
      { kind: 'zoneCutOff', zone: 'a', inside: 'leader', at: 0, for: between(21, 70) },
      { kind: 'jobsCancelled', count: 5, elsewhere: true, at: between(4, 12) },
      { kind: 'jobsSubmitted', count: 6, at: 8 },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      cancelled: cancelledWhileRunning(simulation),
      expiredLeases: expiredLeases(simulation),
    }),
  },
  {
    name: 'leaders are killed ten times in two minutes, also during a state store outage',
    jobs: longJobs,
    jobCount: 16,
    faults: (between) => [
      { kind: 'repeatedElections', at: 0, for: 110 },
      { kind: 'stateStoreOutage', at: between(20, 60), for: between(5, 40) },
      { kind: 'jobsCancelled', count: 4, at: between(3, 15) },
      { kind: 'jobsSubmitted', count: 6, at: 60 },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation) - 4,
      cancelled: cancelledWhileRunning(simulation),
    }),
  },
];
