/** Fault scenarios about the responses to users. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import {
  cancelledWhileRunning,
  failovers,
  longJobs,
  type FaultScenario,
} from './fault-scenario.js';

/** Fields of one-task jobs that run for five seconds. */
const shortJobs: Partial<JobSpec> = { ...longJobs, tasks: 1, estimatedRunS: 5 };

/** Scenarios with many polls at once, lost responses, many short jobs or a slow network. */
export const responseScenarios: FaultScenario[] = [
  {
    name: 'all controllers get polls, retries and cancellations right after each change of a job',
    jobs: { estimatedRunS: 10 },
    jobCount: 8,
    faults: () => [
      { kind: 'pollsAfterChanges', cancelShare: 0.3, at: 0, for: 120 },
      { kind: 'jobsSubmitted', count: 12, at: 1 },
      { kind: 'slowStateStore', at: 20, for: 60 },
      { kind: 'watchesRefused', target: 'others', at: 25, for: 50 },
      { kind: 'jobsSubmitted', count: 12, at: 30 },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 1, at: 40 },
      { kind: 'peerConnectionsRefused', at: 50, for: 20 },
      { kind: 'jobsSubmitted', count: 8, at: 55 },
    ],
    expectedEvents: (simulation) => ({
      polls: simulation.observedEvents.count('poll after a change'),
      done: simulation.checker.jobs.countEnded('done'),
      cancelled: simulation.checker.jobs.countEnded('cancelled'),
    }),
  },
  {
    name: 'four one-task jobs are submitted per second, a quarter are cancelled, and the leader is killed',
    jobs: shortJobs,
    jobCount: 4,
    faults: (between) => [
      { kind: 'jobStream', perSecond: 4, cancelShare: 0.25, template: shortJobs, at: 0, for: 120 },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.2, 6),
        at: between(30, 90),
      },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      done: simulation.checker.jobs.countEnded('done') - 250,
      cancelled: simulation.checker.jobs.countEnded('cancelled') - 40,
    }),
  },
  {
    name: 'responses to committed transactions are lost while other controllers read the written keys',
    jobs: { estimatedRunS: 10 },
    jobCount: 10,
    faults: (between) => [
      { kind: 'lostResponses', share: 0.3, at: 0, for: 80 },
      { kind: 'pollsAfterChanges', cancelShare: 0.3, at: 0, for: 100 },
      { kind: 'jobsSubmitted', count: 10, at: 1 },
      { kind: 'jobsCancelled', count: 3, at: between(5, 15) },
      { kind: 'jobsSubmitted', count: 10, at: 25 },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.2, 6),
        at: between(30, 40),
      },
    ],
    expectedEvents: (simulation) => ({
      readsOfUnansweredWrites: simulation.stateStore.readsOfUnansweredWrites,
      polls: simulation.observedEvents.count('poll after a change'),
      cancelled: simulation.checker.jobs.countEnded('cancelled'),
    }),
  },
  {
    name: 'all users poll during a state store outage, in which all controllers but the leader restart',
    jobs: { estimatedRunS: 25 },
    jobCount: 20,
    faults: (between) => [
      { kind: 'jobsCancelled', count: 3, at: 1 },
      { kind: 'stateStoreOutage', at: between(2, 5), for: between(20, 60) },
      { kind: 'everyonePolls', at: 0, for: 70 },
      { kind: 'jobsCancelled', count: 3, at: 10 },
      { kind: 'controllersKilled', target: 'others', restartAfter: 0.5, at: 15 },
      { kind: 'jobsSubmitted', count: 6, at: 18 },
    ],
    expectedEvents: (simulation) => ({
      requestsInOutage: simulation.observedEvents.count('request in an outage') - 200,
    }),
  },
  {
    name: 'jobs of several priorities exceed the capacity on a slow network',
    jobs: { estimatedRunS: 25 },
    jobCount: 30,
    faults: () => [
      { kind: 'slowNetwork', at: 0, for: 90 },
      {
        kind: 'jobsSubmitted',
        count: 15,
        template: { priority: 'production', estimatedRunS: 25 },
        at: 5,
      },
      { kind: 'jobsCancelled', count: 4, at: 20 },
      { kind: 'machinesLost', share: 0.3, at: 25 },
    ],
    expectedEvents: (simulation) => ({
      startedTasks: simulation.checker.startedTasks,
      cancelled: cancelledWhileRunning(simulation),
    }),
  },
];
