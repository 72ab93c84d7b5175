/** Fault scenarios about what users are told. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import {
  cancelledWhileRunning,
  failovers,
  longJobs,
  type FaultScenario,
} from './fault-scenario.js';

/** One-task jobs that are soon done. */
const brief: Partial<JobSpec> = { ...longJobs, tasks: 1, estimatedRunS: 5 };

/** What users are told: many questions at once, lost answers, many short jobs, slow links. */
export const responseScenarios: FaultScenario[] = [
  {
    name: 'users ask at all nodes and repeat right after each answer, some cancel at once',
    jobs: { estimatedRunS: 10 },
    jobCount: 8,
    faults: () => [
      { kind: 'polls after changes', cancelShare: 0.3, at: 0, for: 120 },
      { kind: 'jobs submitted', count: 12, at: 1 },
      { kind: 'slow state store', at: 20, for: 60 },
      { kind: 'watches refused', target: 'others', at: 25, for: 50 },
      { kind: 'jobs submitted', count: 12, at: 30 },
      { kind: 'controllers killed', target: 'leader', restartAfter: 1, at: 40 },
      { kind: 'peer connections refused', at: 50, for: 20 },
      { kind: 'jobs submitted', count: 8, at: 55 },
    ],
    expectedEvents: (simulation) => ({
      looks: simulation.observedEvents.count('poll after a change'),
      done: simulation.checker.jobs.countEnded('done'),
      cancelled: simulation.checker.jobs.countEnded('cancelled'),
    }),
  },
  {
    name: 'one-task jobs four a second, a quarter of them cancelled',
    jobs: brief,
    jobCount: 4,
    faults: (between) => [
      { kind: 'job stream', perSecond: 4, cancelShare: 0.25, template: brief, at: 0, for: 120 },
      {
        kind: 'controllers killed',
        target: 'leader',
        restartAfter: between(0.2, 6),
        at: between(30, 90),
      },
    ],
    expectedEvents: (simulation) => ({
      leaders: failovers(simulation),
      done: simulation.checker.jobs.countEnded('done') - 250,
      cancelled: simulation.checker.jobs.countEnded('cancelled') - 40,
    }),
  },
  {
    name: 'transactions whose answers alone are lost, while other nodes read what they wrote',
    jobs: { estimatedRunS: 10 },
    jobCount: 10,
    faults: (between) => [
      { kind: 'lost responses', share: 0.3, at: 0, for: 80 },
      { kind: 'polls after changes', cancelShare: 0.3, at: 0, for: 100 },
      { kind: 'jobs submitted', count: 10, at: 1 },
      { kind: 'jobs cancelled', count: 3, at: between(5, 15) },
      { kind: 'jobs submitted', count: 10, at: 25 },
      {
        kind: 'controllers killed',
        target: 'leader',
        restartAfter: between(0.2, 6),
        at: between(30, 40),
      },
    ],
    expectedEvents: (simulation) => ({
      read: simulation.stateStore.readsOfUnansweredWrites,
      looks: simulation.observedEvents.count('poll after a change'),
      cancelled: simulation.checker.jobs.countEnded('cancelled'),
    }),
  },
  {
    name: 'all users ask during an outage',
    jobs: { estimatedRunS: 25 },
    jobCount: 20,
    faults: (between) => [
      { kind: 'jobs cancelled', count: 3, at: 1 },
      { kind: 'state store outage', at: between(2, 5), for: between(20, 60) },
      { kind: 'everyone polls', at: 0, for: 70 },
      { kind: 'jobs cancelled', count: 3, at: 10 },
      { kind: 'controllers killed', target: 'others', restartAfter: 0.5, at: 15 },
      { kind: 'jobs submitted', count: 6, at: 18 },
    ],
    expectedEvents: (simulation) => ({
      asked: simulation.observedEvents.count('request in an outage') - 200,
    }),
  },
  {
    name: 'urgent and other work beyond the room over slow links',
    jobs: { estimatedRunS: 25 },
    jobCount: 30,
    faults: () => [
      { kind: 'slow network', at: 0, for: 90 },
      {
        kind: 'jobs submitted',
        count: 15,
        template: { priority: 'production', estimatedRunS: 25 },
        at: 5,
      },
      { kind: 'jobs cancelled', count: 4, at: 20 },
      { kind: 'machines lost', share: 0.3, at: 25 },
    ],
    expectedEvents: (simulation) => ({
      started: simulation.checker.startedTasks,
      cancelled: cancelledWhileRunning(simulation),
    }),
  },
];
