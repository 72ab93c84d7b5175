/** Fault scenarios about the state store: refusals, outages, late transactions, lower limits. */
import { smallWithLowerLimits } from '../deployments/small.js';
import {
  cancelledWhileRunning,
  expiredLeases,
  failovers,
  leaseGaps,
  longJobs,
  type FaultScenario,
} from './fault-scenario.js';

/**
 * Scenarios in which the state store refuses requests, has outages, is slow, commits transactions
 * late or lowers its limits, around cancellations and failovers.
 */
export const stateStoreScenarios: FaultScenario[] = [
  {
    name: 'jobs are cancelled while the state store refuses only the leader, before an outage longer than cancel_s',
    jobs: longJobs,
    jobCount: 14,
    faults: (between) => [
      { kind: 'stateStoreRefuses', target: 'leader', at: 0, for: between(3, 25) },
      { kind: 'jobsCancelled', count: 6, elsewhere: true, at: between(0.2, 1.8) },
      { kind: 'stateStoreOutage', at: between(2, 4), for: between(46, 130) },
    ],
    expectedEvents: (simulation) => ({
      cancelled: simulation.observedEvents.count('cancelled while the leader alone is refused'),
      expiredLeases: expiredLeases(simulation),
    }),
  },
  {
    name: 'jobs are cancelled while the state store and peers refuse the leader, before an outage shorter than lease_s',
    jobs: longJobs,
    jobCount: 14,
    faults: (between) => [
      { kind: 'stateStoreRefuses', target: 'leader', at: 0, for: 2.5 },
      { kind: 'peerConnectionsRefused', at: 0, for: 60 },
      { kind: 'jobsCancelled', count: 6, elsewhere: true, at: between(0.1, 0.8), hang: 8 },
      { kind: 'stateStoreOutage', at: 1.5, for: between(4, 18) },
      { kind: 'watchesRefused', target: 'leader', at: 0, for: 60 },
    ],
    expectedEvents: (simulation) => ({
      cancelled: cancelledWhileRunning(simulation),
      leaseGapsOrFailovers: leaseGaps(simulation) + failovers(simulation),
    }),
  },
  {
    name: 'the state store refuses the watches of the leader but not its lease renewals',
    jobs: longJobs,
    jobCount: 14,
    faults: () => [
      { kind: 'watchesRefused', target: 'leader', at: 0, for: 100 },
      { kind: 'peerConnectionsRefused', at: 0, for: 100 },
      { kind: 'jobsCancelled', count: 6, elsewhere: true, at: 1 },
    ],
    expectedEvents: (simulation) => ({ cancelled: cancelledWhileRunning(simulation) }),
  },
  {
    name: 'jobs are cancelled while the state store is slow, refuses the leader and has an outage',
    jobs: longJobs,
    jobCount: 14,
    faults: (between) => [
      { kind: 'slowStateStore', at: 0, for: 60 },
      { kind: 'lateWrites', share: 0.5, at: 0, for: 20 },
      { kind: 'jobsCancelled', count: 3, at: 1 },
      { kind: 'stateStoreRefuses', target: 'leader', at: 5, for: between(3, 10) },
      { kind: 'jobsCancelled', count: 3, at: 6, hang: 15 },
      { kind: 'stateStoreOutage', at: between(8, 12), for: between(46, 60) },
      { kind: 'jobsCancelled', count: 3, at: 60 },
    ],
    expectedEvents: (simulation) => ({
      cancelled: cancelledWhileRunning(simulation),
      lateCommits:
        simulation.stateStore.lateCommits.applied + simulation.stateStore.lateCommits.refused,
    }),
  },
  {
    name: 'transactions are committed late, after newer ones, around failovers',
    jobs: { estimatedRunS: 15 },
    jobCount: 20,
    faults: (between) => [
      { kind: 'lateWrites', share: 0.4, at: 0, for: 60 },
      { kind: 'jobsCancelled', count: 3, at: 2 },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 0.3, at: between(10, 15) },
      { kind: 'jobsSubmitted', count: 8, at: 12 },
      { kind: 'stateStoreRefuses', target: 'leader', at: 25, for: between(2, 6) },
      { kind: 'jobsCancelled', count: 3, at: 26 },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 6, at: 40 },
      { kind: 'jobsSubmitted', count: 8, at: 45 },
    ],
    expectedEvents: (simulation) => ({
      lateCommitsApplied: simulation.stateStore.lateCommits.applied,
      lateCommitsRefused: simulation.stateStore.lateCommits.refused,
      failovers: failovers(simulation),
    }),
  },
  {
    name: 'the state store lowers its limits during commits, failovers and an outage',
    deployment: smallWithLowerLimits,
    jobs: { estimatedRunS: 15, gpus: 0, cpus: 1, memoryGb: 1 },
    jobCount: 40,
    faults: (between) => [
      { kind: 'jobsSubmitted', count: 30, at: between(0, 2) },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.2, 3),
        at: between(1, 3),
      },
      { kind: 'stateStoreLimitsLowered', at: between(2, 5) },
      { kind: 'lateWrites', share: 0.3, at: 0, for: 20 },
      { kind: 'jobsCancelled', count: 4, at: 6 },
      { kind: 'jobsCancelled', count: 4, at: 33 },
      {
        kind: 'controllersKilled',
        target: 'leader',
        restartAfter: between(0.2, 6),
        at: between(8, 12),
      },
      { kind: 'stateStoreOutage', at: 15, for: between(3, 12) },
      { kind: 'jobsSubmitted', count: 30, at: 30 },
      { kind: 'controllersKilled', target: 'all', restartAfter: 1, at: 35 },
    ],
    expectedEvents: (simulation) => ({
      failovers: failovers(simulation) - 1,
      cancelled: cancelledWhileRunning(simulation),
      withinLimits: simulation.stateStore.tooLarge === 0 ? 1 : 0,
    }),
  },
];
