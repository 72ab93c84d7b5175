/** Fault scenarios about operations that are in progress at a failover. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import {
  cancelledWhileRunning,
  failovers,
  expiredLeases,
  longJobs,
  type FaultScenario,
} from './fault-scenario.js';

/** Fields of large job arrays, a few of which use up a team's limits. */
const teamFillingJobs: Partial<JobSpec> = {
  ...{ ...longJobs, estimatedRunS: 90, tasks: 10, gpus: 1, priority: 'normal', types: null },
  ...{ zone: null, spot: true },
};

/**
 * Scenarios with a failover while machines boot, team limits are reached, commands or heartbeats
 * are in transit, or machines restart.
 */
export const failoverScenarios: FaultScenario[] = [
  {
    name: 'a zone with workers and a follower is cut off for longer than lease_s and the leader is killed',
    jobs: longJobs,
    jobCount: 16,
    faults: (between) => [
      { kind: 'zoneCutOff', zone: 'a', inside: 'follower', at: 0, for: between(21, 70) },
      { kind: 'jobsCancelled', count: 5, at: between(4, 12) },
      { kind: 'jobsSubmitted', count: 6, at: 8 },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.2, 6),
        at: between(5, 15),
      },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      cancelled: cancelledWhileRunning(simulation),
      expiredLeases: expiredLeases(simulation),
    }),
  },
  {
    name: 'the leader is killed while machines boot within seconds and state store writes are late',
    jobs: { ...longJobs, estimatedRunS: 30, cpus: 4, gpus: 1 },
    jobCount: 10,
    faults: (between) => [
      { kind: 'fastBoots', at: 0, for: 100 },
      { kind: 'machinesLost', share: 0.4, at: 0 },
      { kind: 'slowStateStore', at: 0, for: 100 },
      { kind: 'lateWrites', share: 0.2, at: 0, for: 60 },
      { kind: 'jobsSubmitted', count: 12, at: 1 },
      { kind: 'leaderKilledWhileMachinesStart', restartAfter: between(0.1, 6), at: 0, for: 60 },
      { kind: 'jobsSubmitted', count: 12, at: 30 },
      { kind: 'machinesLost', share: 0.4, at: 35 },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      leaderKills: simulation.observedEvents.count('leader killed while a new machine starts'),
      tasksStarted: simulation.observedEvents.count('task started on a new machine'),
    }),
  },
  {
    name: 'jobs on cut-off or hanging machines are cancelled at failovers, with every team at its limit',
    jobs: { ...teamFillingJobs, team: 'red' },
    jobCount: 3,
    faults: (between) => [
      { kind: 'jobsSubmitted', count: 4, template: { ...teamFillingJobs, team: 'blue' }, at: 0 },
      { kind: 'jobsCancelled', count: 2, cut: between(5, 50), at: 45 },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.2, 6),
        at: between(44.5, 47),
      },
      { kind: 'jobsSubmitted', count: 2, template: { ...teamFillingJobs, team: 'red' }, at: 46 },
      { kind: 'jobsSubmitted', count: 2, template: { ...teamFillingJobs, team: 'blue' }, at: 46 },
      { kind: 'jobsCancelled', count: 2, hang: between(5, 40), at: 75 },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.2, 6),
        at: between(74.5, 77),
      },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      cancelled: simulation.observedEvents.count('cancelled with every team at its limit'),
      leaderKills: simulation.observedEvents.count('leader killed with every team at its limit'),
    }),
  },
  {
    name: 'jobs are cancelled while a leader steps down',
    jobs: longJobs,
    jobCount: 16,
    faults: () => [
      { kind: 'jobsCancelledAtHandovers', count: 2, at: 0, for: 120 },
      { kind: 'cutOffFromWorkers', target: 'leader', at: 0, for: 20 },
      { kind: 'cutOffFromWorkers', target: 'leader', at: 35, for: 15 },
      { kind: 'jobsSubmitted', count: 6, template: longJobs, at: 40 },
      { kind: 'cutOffFromWorkers', target: 'leader', at: 65, for: 15 },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation) - 1,
      cancelled: simulation.observedEvents.count('cancelled at a handover'),
    }),
  },
  {
    name: 'direct commands of former leaders arrive after those of the next leader',
    jobs: { estimatedRunS: 12 },
    jobCount: 16,
    faults: (between) => [
      { kind: 'delayedCommands', share: 0.4, at: 0, for: 90 },
      { kind: 'jobsSubmitted', count: 8, at: 1 },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 0.3, at: 3 },
      { kind: 'jobsCancelled', count: 3, at: 4 },
      { kind: 'jobsSubmitted', count: 8, at: 20 },
      { kind: 'controllersIsolated', target: 'leader', at: between(21, 23), for: 25 },
      { kind: 'jobsCancelled', count: 3, elsewhere: true, at: 24 },
      { kind: 'jobsSubmitted', count: 8, at: 55 },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.1, 6),
        at: between(56, 58),
      },
    ],
    expectedEvents: (simulation) => ({
      delayedCommands: simulation.network.delayedCommandsDelivered,
      commandsOfOlderLeaders: simulation.observedEvents.count('direct command of an older leader'),
      failovers: failovers(simulation) - 1,
    }),
  },
  ...[0, 4].map((after): FaultScenario => ({
    name: `heartbeats are replayed to the next leader ${after} s after its election`,
    jobs: { estimatedRunS: 12 },
    jobCount: 16,
    faults: (between) => [
      { kind: 'heartbeatsReplayedToTheNextLeader', share: 0.5, after, at: 0, for: 120 },
      { kind: 'jobsSubmitted', count: 8, at: 2 },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 0.3, at: between(8, 12) },
      { kind: 'machinesCutOff', share: 0.3, at: 15, for: between(5, 30) },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 6, at: between(25, 35) },
      { kind: 'jobsSubmitted', count: 8, at: 36 },
      { kind: 'jobsCancelled', count: 3, at: 40 },
      { kind: 'controllersIsolated', target: 'leader', at: between(45, 50), for: 20 },
    ],
    expectedEvents: (simulation) => ({
      duplicatesDelivered: simulation.network.duplicatesDelivered - 20,
      failovers: failovers(simulation) - 1,
    }),
  })),
  {
    name: 'machines and controllers restart within a second, also during elections',
    jobs: { estimatedRunS: 25 },
    jobCount: 16,
    faults: (between) => [
      { kind: 'machinesRestart', share: 0.5, restartAfter: between(0.1, 0.9), at: 0 },
      { kind: 'repeatedElections', at: 1, for: 30 },
      { kind: 'machinesRestart', share: 0.5, restartAfter: between(0.1, 0.9), at: 10 },
      { kind: 'jobsCancelled', count: 3, at: 11 },
      { kind: 'jobsSubmitted', count: 8, at: 20 },
      { kind: 'controllersKilled', target: 'all', restartAfter: between(0.1, 0.9), at: 40 },
      { kind: 'machinesRestart', share: 0.5, restartAfter: between(0.1, 0.9), at: 40 },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation) - 3,
      cancelled: cancelledWhileRunning(simulation),
    }),
  },
  {
    name: 'machines are lost and the leader is killed while job arrays are bound to one zone',
    jobs: { ...longJobs, estimatedRunS: 60, zone: 'a' },
    jobCount: 14,
    faults: (between) => [
      { kind: 'machinesCutOff', share: 0.4, at: 2, for: between(20, 60) },
      { kind: 'machinesLost', share: 0.3, at: between(4, 10) },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.2, 6),
        at: between(8, 20),
      },
      { kind: 'jobsCancelled', count: 3, at: between(4, 10) },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation),
      cancelled: cancelledWhileRunning(simulation),
    }),
  },
];
