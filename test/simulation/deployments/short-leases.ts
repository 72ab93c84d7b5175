/** A deployment with short worker leases. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import { defaultPlatformOptions } from '../../platform.js';
import { longJobs } from '../scenarios/fault-scenario.js';
import type { SeededRandom } from '../seeded-random.js';
import { hostNames, withLowerStateLimits, type Deployment } from './deployment.js';
import { teamToml } from './teams.js';

/** Duration of a worker's lease (platform setting `lease_s`), in seconds. */
const LEASE_S = 10;
/**
 * Maximum time for which tasks of a cancelled job may stay on machines (platform setting
 * `cancel_s`), in seconds.
 */
const CANCEL_S = 35;
/** CPUs of the only machine type. */
const CPUS = 64;
/** GPUs of the only machine type. */
const GPUS = 8;
/** Memory of the only machine type, in gigabytes. */
const MEMORY_GB = 400;

/**
 * Three controllers in two zones, worker leases of half the usual duration, and large machines. No
 * machine exists at the start.
 */
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
    teamsToml:
      teamToml('red', { gpus: 16, gpusMax: 16 }) + teamToml('blue', { gpus: 16, gpusMax: 24 }),
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

/** The deployment `shortLeases`, with settings that announce lower limits of the state store. */
export const shortLeasesWithLowerLimits = withLowerStateLimits(shortLeases, 20);

type CommonFields = Pick<
  JobSpec,
  | 'id'
  | 'team'
  | 'types'
  | 'spread'
  | 'deadlineS'
  | 'priority'
  | 'spot'
  | 'imageGb'
  | 'estimatedRunS'
  | 'checkpointSaveS'
  | 'zone'
>;

/** Random draws from 0 up to this value give a training job. */
const TRAINING_BELOW = 0.3;
/**
 * Random draws from `TRAINING_BELOW` up to this value give a scoring job; higher draws give a print
 * job.
 */
const SCORING_BELOW = 0.8;

/**
 * Returns a gang that uses whole machines, an array with one GPU per task and checkpoints, or an
 * array without GPUs.
 */
function randomJob(random: SeededRandom, id: string): JobSpec {
  const common: CommonFields = {
    ...{ id, team: random.pick(['red', 'blue']), types: null, spread: false, deadlineS: null },
    ...{ priority: random.pick(['low', 'normal', 'normal', 'high']), spot: true },
    ...{ imageGb: random.between(1, 4), estimatedRunS: 20, checkpointSaveS: 1 },
    zone: random.next() < 0.1 ? 'a' : null,
  };
  const kind = random.next();
  if (kind < TRAINING_BELOW) return trainingJob(random, common);
  if (kind < SCORING_BELOW) return scoringJob(random, common);
  return printJob(random, common);
}

function trainingJob(random: SeededRandom, common: CommonFields): JobSpec {
  const sizes = common.team === 'red' ? [1, 2] : [1, 2, 3];
  return {
    ...{ ...common, class: 'train', kind: 'gang', tasks: random.pick(sizes) },
    ...{ cpus: CPUS - 8, gpus: GPUS, memoryGb: MEMORY_GB - 80 },
    ...{ image: random.pick(['train-1', 'train-2']), singleZone: random.next() < 0.5 },
    checkpointIntervalS: 10,
  };
}

function scoringJob(random: SeededRandom, common: CommonFields): JobSpec {
  return {
    ...{ ...common, class: 'score', kind: 'array', singleZone: false },
    ...{ tasks: Math.ceil(random.between(0, 12)), cpus: 6, gpus: 1 },
    ...{ memoryGb: 40, image: random.pick(['score-1', 'score-2']), checkpointIntervalS: 5 },
  };
}

function printJob(random: SeededRandom, common: CommonFields): JobSpec {
  return {
    ...{ ...common, class: 'print', kind: 'array', singleZone: false },
    ...{ tasks: random.pick([1, 3, 10]), cpus: 4, gpus: 0 },
    ...{ memoryGb: 10, image: 'print-1', checkpointIntervalS: 0 },
  };
}
