/** A deployment with short leases, and the fault scenarios as days of it. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import { defaultPlatformOptions } from '../../platform.js';
import {
  cancelledWhileRunning,
  failovers,
  expiredLeases,
  longJobs,
  type FaultScenario,
} from '../scenarios/fault-scenario.js';
import { hostNames, teamToml, type Deployment } from './deployment.js';
import type { SeededRandom } from '../seeded-random.js';
import type { Fault } from '../faults/scripted/fault.js';

const LEASE_S = 10;
const CANCEL_S = 35;
/** The one type of machine. */
const CPUS = 64;
const GPUS = 8;
const MEMORY_GB = 400;

/** Gangs of whole machines, arrays of single GPUs that checkpoint, and arrays without GPUs. */
function randomJob(random: SeededRandom, id: string): JobSpec {
  const name = random.pick(['red', 'blue']);
  const base = {
    ...{ id, team: name, types: null, spread: false, deadlineS: null },
    ...{ priority: random.pick(['low', 'normal', 'normal', 'high'] as const), spot: true },
    ...{ imageGb: random.between(1, 4), estimatedRunS: 20, checkpointSaveS: 1 },
    zone: random.next() < 0.1 ? 'a' : null,
  };
  const kind = random.next();
  if (kind < 0.3)
    return {
      ...{
        ...base,
        class: 'train',
        kind: 'gang',
        tasks: random.pick(name === 'red' ? [1, 2] : [1, 2, 3]),
      },
      ...{ cpus: CPUS - 8, gpus: GPUS, memoryGb: MEMORY_GB - 80 },
      ...{ image: random.pick(['train-1', 'train-2']), singleZone: random.next() < 0.5 },
      ...{ checkpointIntervalS: 10 },
    };
  const array = { ...base, kind: 'array' as const, singleZone: false };
  if (kind < 0.8)
    return {
      ...{ ...array, class: 'score', tasks: Math.ceil(random.between(0, 12)), cpus: 6, gpus: 1 },
      ...{ memoryGb: 40, image: random.pick(['score-1', 'score-2']), checkpointIntervalS: 5 },
    };
  return {
    ...{ ...array, class: 'print', tasks: random.pick([1, 3, 10]), cpus: 4, gpus: 0 },
    ...{ memoryGb: 10, image: 'print-1', checkpointIntervalS: 0 },
  };
}

/** Leases of half the usual length, controllers in two zones, large machines and none at the start. */
export const shortLeases: Deployment = {
  hosts: hostNames(3),
  types: [
    {
      ...{ name: 'large', cpus: CPUS, gpus: GPUS, memoryGb: MEMORY_GB },
      ...{ cacheGb: 60, fetchGbPerS: 1, price: 20, spotPrice: 7, bootS: 30, zones: ['a', 'b'] },
    },
  ],
  machines: [],
  capacity: 30,
  platform: {
    ...defaultPlatformOptions,
    ...{
      hostZones: ['a', 'a', 'b'],
      heartbeatIntervalS: 1,
      leaseS: LEASE_S,
      cancelDeadlineS: CANCEL_S,
    },
    ...{ rps: 80, writeRps: 30, valueKb: 8 },
    teamsToml: teamToml('red', 0, 0, 16, 16) + teamToml('blue', 0, 0, 16, 24),
  },
  pageSize: 20,
  startMs: 65_000,
  warmUpJob: {
    ...{ ...longJobs, estimatedRunS: 10, tasks: 10, priority: 'normal', zone: null, spot: true },
    ...{ cpus: 7, memoryGb: 10 },
  },
  bootFailures: 0.1,
  taskScale: 8,
  randomJob,
};

/** The same where the state service will take less from some moment on. */
const shrinkingShortLeases: Deployment = {
  ...shortLeases,
  platform: {
    ...shortLeases.platform,
    upcomingLimitsToml: '[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 6\nwrite_rps = 20.0\n',
  },
};

const LEASE_RATIO = LEASE_S / defaultPlatformOptions.leaseS;
const CANCEL_RATIO = CANCEL_S / defaultPlatformOptions.cancelDeadlineS;
/** Until then a day goes by at the rate of the leases; later times only shift. */
const SCALED_UNTIL_S = 10;

/** A time of a scenario's table, as a time of the deployment with short leases. */
function moment(seconds: number): number {
  const early = Math.min(seconds, SCALED_UNTIL_S);
  return early * LEASE_RATIO + (seconds - early);
}

/** A span of time: one longer than `cancel_s` stays so, others keep their ratio to the lease. */
function span(seconds: number): number {
  return seconds * (seconds > defaultPlatformOptions.cancelDeadlineS ? CANCEL_RATIO : LEASE_RATIO);
}

function scaled(fault: Fault): Fault {
  const t = { ...fault, at: moment(fault.at) };
  if (t.for !== undefined && PASSING.has(t.kind)) t.for = span(t.for);
  if ('hang' in t) t.hang = span(t.hang);
  if ('cut' in t) t.cut = span(t.cut);
  return t;
}

/** Faults whose length matters beside the leases; others say for how longJobs something goes on. */
const PASSING: ReadonlySet<Fault['kind']> = new Set([
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

/** The scenario as a day of the deployment with short leases. */
export function withShortLeases(scenario: FaultScenario): FaultScenario {
  return {
    ...scenario,
    deployment: scenario.deployment === undefined ? shortLeases : shrinkingShortLeases,
    faults: (between) => scenario.faults(between).map(scaled),
  };
}

/** The zone with a single controller alone, with the leader or with a follower in it. */
export const singleControllerZone: FaultScenario[] = [
  {
    name: 'the zone with one controller, which leads, is cut off for longer than lease_s',
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
      leaders: failovers(simulation),
      alone: simulation.observedEvents.count('leader alone in its zone'),
      elected: simulation.observedEvents.count('leader elected outside a zone that is cut off'),
      work: simulation.observedEvents.count('task started while a zone is cut off'),
      cancelled: cancelledWhileRunning(simulation),
      lost: expiredLeases(simulation),
    }),
  },
  {
    name: 'the zone with one controller, a follower, is cut off and the leader ends',
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
      leaders: failovers(simulation),
      work: simulation.observedEvents.count('task started while a zone is cut off'),
      cancelled: cancelledWhileRunning(simulation),
      lost: expiredLeases(simulation),
    }),
  },
];
