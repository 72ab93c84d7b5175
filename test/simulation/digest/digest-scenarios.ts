/**
 * The scenarios of the behaviour digest. Each has a fixed seed; together they cover most of the
 * program.
 */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import { smallWithLowerLimits, smallDeployment } from '../deployments/small.js';
import type { Deployment } from '../deployments/deployment.js';
import { longJobs } from '../scenarios/fault-scenario.js';
import { frequentFaults, noFaults, type FaultRates } from '../faults/fault-rates.js';
import type { Fault } from '../faults/scripted/fault.js';
import { shortLeases } from '../deployments/short-leases.js';

/** A scenario whose digest is compared with an expected value. */
export interface DigestScenario {
  name: string;
  deployment: Deployment;
  seed: number;
  rates: FaultRates;
  /** Number of random jobs, submitted at random times in the first four fifths of the scenario. */
  randomJobs: number;
  /** Faults and user actions, each at a given time. */
  faults: Fault[];
  /**
   * Time between two interruptions of spot instances, in milliseconds; undefined if there are no
   * interruptions.
   */
  interruptionIntervalMs?: number;
  /** Duration of the scenario in virtual milliseconds. */
  playMs: number;
}

const serviceTemplate: Partial<JobSpec> = {
  kind: 'service',
  tasks: 3,
  cpus: 2,
  gpus: 0,
  memoryGb: 2,
  types: null,
  zone: null,
  singleZone: false,
  spread: true,
  checkpointIntervalS: 0,
  checkpointSaveS: 0,
  deadlineS: null,
};
const gangTemplate: Partial<JobSpec> = {
  kind: 'gang',
  class: 'train',
  tasks: 3,
  cpus: 4,
  gpus: 2,
  memoryGb: 8,
  types: null,
  zone: null,
  singleZone: true,
  spread: false,
  estimatedRunS: 40,
  checkpointIntervalS: 10,
  checkpointSaveS: 2,
};

/** All digest scenarios; each runs in a few seconds of real time at most. */
export const digestScenarios: DigestScenario[] = [
  {
    name: 'quiet',
    deployment: smallDeployment,
    seed: 1,
    rates: noFaults,
    randomJobs: 30,
    faults: [],
    playMs: 200_000,
  },
  {
    name: 'random faults',
    deployment: smallDeployment,
    seed: 4,
    rates: frequentFaults,
    randomJobs: 30,
    faults: [],
    playMs: 240_000,
  },
  {
    name: 'short leases',
    deployment: shortLeases,
    seed: 2,
    rates: frequentFaults,
    randomJobs: 24,
    faults: [],
    playMs: 240_000,
  },
  {
    name: 'services, gangs and cancellations',
    deployment: smallDeployment,
    seed: 5,
    rates: { ...noFaults, taskFailures: 0.03 },
    randomJobs: 12,
    playMs: 180_000,
    faults: [
      { kind: 'jobsSubmitted', count: 4, template: serviceTemplate, at: 1 },
      { kind: 'jobsSubmitted', count: 6, template: { ...gangTemplate, priority: 'low' }, at: 2 },
      { kind: 'unusualRequests', at: 5, for: 20 },
      {
        kind: 'jobsSubmitted',
        count: 3,
        template: { ...gangTemplate, priority: 'high', deadlineS: 90 },
        at: 20,
      },
      { kind: 'jobsCancelled', count: 3, at: 30 },
      { kind: 'machinesLost', share: 0.3, at: 40 },
      {
        kind: 'jobsSubmitted',
        count: 30,
        template: { ...longJobs, tasks: 10, spot: true },
        at: 45,
      },
      {
        kind: 'jobStream',
        perSecond: 2,
        cancelShare: 0.3,
        template: { estimatedRunS: 5 },
        at: 60,
        for: 15,
      },
      { kind: 'pollsAfterChanges', cancelShare: 3, at: 80, for: 20 },
      { kind: 'machinesRestart', share: 0.3, restartAfter: 1, at: 100 },
      { kind: 'jobsCancelled', count: 3, hang: 20, at: 110 },
    ],
  },
  {
    name: 'failovers and an outage',
    deployment: smallDeployment,
    seed: 6,
    rates: noFaults,
    randomJobs: 12,
    playMs: 230_000,
    faults: [
      { kind: 'jobsSubmitted', count: 12, template: longJobs, at: 0 },
      { kind: 'jobsSubmitted', count: 2, template: serviceTemplate, at: 1 },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 4, at: 20 },
      { kind: 'controllersIsolated', target: 'leader', at: 40, for: 25 },
      { kind: 'jobsCancelled', count: 3, elsewhere: true, at: 45 },
      { kind: 'stateStoreOutage', at: 75, for: 25 },
      { kind: 'lateWrites', share: 0.2, at: 105, for: 15 },
      { kind: 'stateStoreRefuses', target: 'leader', at: 125, for: 15 },
      { kind: 'repeatedElections', at: 145, for: 6 },
      { kind: 'cutOffFromWorkers', target: 'leader', at: 165, for: 15 },
      { kind: 'controllersFrozen', target: 'leader', at: 185, for: 12 },
      { kind: 'watchesRefused', target: 'others', at: 200, for: 10 },
    ],
  },
  {
    name: 'spot notices and falling limits',
    deployment: smallWithLowerLimits,
    seed: 7,
    rates: noFaults,
    randomJobs: 10,
    interruptionIntervalMs: 9000,
    playMs: 200_000,
    faults: [
      {
        kind: 'jobsSubmitted',
        count: 8,
        template: { ...serviceTemplate, spot: true, spread: false },
        at: 0,
      },
      { kind: 'jobsSubmitted', count: 6, template: { ...longJobs, spot: true }, at: 2 },
      { kind: 'stateStoreLimitsLowered', at: 60 },
      { kind: 'jobsSubmitted', count: 20, template: { estimatedRunS: 5, tasks: 10 }, at: 62 },
      { kind: 'delayedCommands', share: 0.3, at: 80, for: 40 },
      { kind: 'duplicatedHeartbeats', share: 0.2, at: 80, for: 40 },
      { kind: 'heartbeatsReplayedToTheNextLeader', share: 0.2, after: 1, at: 90, for: 30 },
      { kind: 'controllersKilled', target: 'leader', restartAfter: 0.3, at: 100 },
      { kind: 'zoneCutOff', zone: 'a', inside: 'follower', at: 130, for: 30 },
    ],
  },
];
