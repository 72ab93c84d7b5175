/** Fault scenarios about kinds of jobs, team limits, scarce capacity and the ends of jobs. */
import { cancelledWhileRunning, failovers, type FaultScenario } from './fault-scenario.js';

/** Scenarios about job arrays, gangs, services, team limits, scarce capacity and ending jobs. */
export const workloadScenarios: FaultScenario[] = [
  {
    name: 'leaders are killed and machines are cut off while the tasks of job arrays end at different times',
    jobs: { tasks: 3, kind: 'array', estimatedRunS: 40 },
    jobCount: 14,
    faults: (between) => [
      { kind: 'controllersKilled', target: 'leader', restartAfter: 6, at: between(0, 5) },
      { kind: 'machinesCutOff', share: 0.3, at: between(5, 10), for: between(5, 40) },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.1, 0.6),
        at: between(20, 30),
      },
    ],
    expectedEvents: (simulation) => ({ failovers: failovers(simulation) }),
  },
  {
    name: 'leaders are killed and heartbeats are duplicated while gangs of two tasks end',
    jobs: { tasks: 2, kind: 'gang', estimatedRunS: 25, cpus: 1, gpus: 1, memoryGb: 1 },
    jobCount: 14,
    faults: (between) => [
      { kind: 'machinesCutOff', share: 0.3, at: between(2, 10), for: between(5, 40) },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 6, at: between(5, 20) },
      { kind: 'duplicatedHeartbeats', share: 0.3, at: 0, for: 60 },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 0.3, at: between(25, 40) },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      duplicatesDelivered: simulation.network.duplicatesDelivered,
    }),
  },
  {
    name: 'jobs exceed the capacity while machines are lost and the state store is slow',
    jobs: { estimatedRunS: 30 },
    jobCount: 60,
    faults: () => [
      { kind: 'machinesLost', share: 0.3, at: 5 },
      { kind: 'slowStateStore', at: 0, for: 60 },
    ],
    expectedEvents: (simulation) => ({ startedTasks: simulation.checker.startedTasks }),
  },
  {
    name: 'machines are cut off, the leader is killed and jobs are cancelled with a team at its limit',
    jobs: {
      estimatedRunS: 100,
      team: 'red',
      kind: 'array',
      tasks: 10,
      gpus: 1,
      cpus: 1,
      memoryGb: 1,
    },
    jobCount: 4,
    faults: (between) => [
      { kind: 'machinesCutOff', share: 0.5, at: 0, for: between(10, 50) },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 6, at: between(0.2, 3) },
      { kind: 'jobsCancelled', count: 2, at: between(1, 8) },
      { kind: 'machinesHang', share: 0.3, at: between(5, 15), for: between(5, 40) },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      cancelled: cancelledWhileRunning(simulation),
    }),
  },
  {
    name: 'jobs are cancelled as their last tasks end, and users send repeated and invalid requests',
    jobs: { estimatedRunS: 10 },
    jobCount: 25,
    faults: () => [
      { kind: 'jobsCancelledAsTheyEnd', share: 0.6, at: 0, for: 90 },
      { kind: 'unusualRequests', at: 0, for: 90 },
    ],
    expectedEvents: (simulation) => ({
      done: simulation.checker.jobs.countEnded('done'),
      cancelled: simulation.checker.jobs.countEnded('cancelled'),
    }),
  },
  {
    name: 'machines are lost, leaders are killed, the state store has an outage and services are cancelled',
    jobs: {
      ...{
        kind: 'service',
        estimatedRunS: 0,
        tasks: 3,
        singleZone: false,
        spread: false,
        deadlineS: null,
      },
      ...{
        cpus: 1,
        gpus: 0,
        memoryGb: 1,
        priority: 'production',
        checkpointIntervalS: 0,
        checkpointSaveS: 0,
      },
    },
    jobCount: 8,
    faults: (between) => [
      { kind: 'machinesLost', share: 0.3, at: between(1, 5) },
      { kind: 'controllersKilled', target: 'leader', restartAfter: between(0.2, 6), at: 6 },
      { kind: 'jobsCancelled', count: 2, at: 10, hang: 15 },
      { kind: 'machinesCutOff', share: 0.3, at: 20, for: between(10, 40) },
      { kind: 'duplicatedHeartbeats', share: 0.4, at: 0, for: 100 },
      { kind: 'jobsSubmitted', count: 10, at: 30 },
      { kind: 'controllersKilled', target: 'leader', restartAfter: between(0.2, 6), at: 50 },
      { kind: 'stateStoreOutage', at: 70, for: between(5, 50) },
      { kind: 'jobsCancelled', count: 1, at: 75 },
    ],
    expectedEvents: (simulation) => ({
      replicasEnded: simulation.replicasEnded,
      failovers: failovers(simulation),
      cancelled: cancelledWhileRunning(simulation),
      duplicatesDelivered: simulation.network.duplicatesDelivered,
    }),
  },
];
