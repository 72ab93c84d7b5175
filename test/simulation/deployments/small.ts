/** The small deployment, which most simulations use. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import { defaultPlatformOptions } from '../../platform.js';
import type { SeededRandom } from '../seeded-random.js';
import { hostNames, withLowerStateLimits, type Deployment } from './deployment.js';
import { bigMachine, smallMachine } from './machine-types.js';
import { teamToml } from './teams.js';

const teams = [
  teamToml('red', { gpus: 8, gpusMax: 12 }),
  teamToml('blue', { cpus: 8, cpusMax: 40, gpus: 4, gpusMax: 16 }),
];

/** Three controllers and a few machines in two zones, for gangs and job arrays. */
export const smallDeployment: Deployment = {
  hosts: hostNames(3),
  types: [bigMachine, smallMachine],
  machines: ['a', 'b'].flatMap((zone) => [
    { type: 'big', zone, spot: false, count: 2 },
    { type: 'small', zone, spot: false, count: 1 },
  ]),
  capacity: 16,
  platform: { ...defaultPlatformOptions, teamsToml: teams.join('') },
  // Pages are small so that reads need several pages.
  pageSize: 7,
  randomJob,
};

/**
 * The small deployment, with settings that announce lower limits of the state store to the
 * controllers. The simulated store enforces them only once a scenario lowers its limits.
 */
export const smallWithLowerLimits = withLowerStateLimits(smallDeployment, 25);

function randomJob(random: SeededRandom, id: string): JobSpec {
  const gang = random.next() < 0.5;
  const gpus = gang ? random.pick([1, 2, 4]) : random.pick([0, 0, 1]);
  const tasks = gang ? random.pick([1, 2, 3]) : random.pick([1, 3, 10]);
  const spread = tasks > 1 && random.next() < 0.3;
  const kind = gang
    ? ({ class: 'train', kind: 'gang', checkpointIntervalS: 10, checkpointSaveS: 2 } as const)
    : ({ class: 'batch', kind: 'array', checkpointIntervalS: 0, checkpointSaveS: 0 } as const);
  return {
    ...{ ...kind, id, tasks, gpus, spread, estimatedRunS: 20 },
    team: random.pick(['red', 'blue']),
    priority: random.pick(['low', 'normal', 'normal', 'high']),
    cpus: random.pick([1, 2, 4]),
    memoryGb: random.pick([1, 4, 8]),
    image: random.pick(['img-1', 'img-2', 'img-3']),
    imageGb: random.pick([1, 3]),
    types: random.next() < 0.2 ? ['big'] : null,
    ...drawZones(random, gang, spread),
    spot: random.next() < 0.5,
    deadlineS: random.next() < 0.3 ? 100 : null,
  };
}

/** Draws the zone constraints of a job. A job that is spread over zones gets no zone constraint. */
function drawZones(
  random: SeededRandom,
  gang: boolean,
  spread: boolean,
): Pick<JobSpec, 'zone' | 'singleZone'> {
  return {
    zone: !spread && random.next() < 0.1 ? 'a' : null,
    singleZone: !spread && gang && random.next() < 0.5,
  };
}
