/**
 * Random jobs of the fleets: gangs that use whole machines, arrays with one GPU per task, and
 * arrays without GPUs.
 */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { SeededRandom } from '../seeded-random.js';

type CommonFields = Pick<
  JobSpec,
  'id' | 'types' | 'zone' | 'spread' | 'deadlineS' | 'imageGb' | 'estimatedRunS'
>;

/** Random draws from 0 up to this value give a training job. */
const TRAINING_BELOW = 0.2;
/**
 * Random draws from `TRAINING_BELOW` up to this value give a scoring job; higher draws give a print
 * job.
 */
const SCORING_BELOW = 0.6;

/** Returns a random job for a fleet. */
export function fleetJob(random: SeededRandom, id: string): JobSpec {
  const common: CommonFields = {
    ...{ id, types: null, zone: null, spread: false, deadlineS: null },
    ...{ imageGb: random.between(1, 6), estimatedRunS: random.between(20, 60) },
  };
  const kind = random.next();
  if (kind < TRAINING_BELOW) return trainingJob(random, common);
  if (kind < SCORING_BELOW) return scoringJob(random, common);
  return printJob(random, common);
}

function trainingJob(random: SeededRandom, common: CommonFields): JobSpec {
  return {
    ...{ ...common, class: 'train', team: random.pick(['red', 'blue']), kind: 'gang' },
    ...{ priority: 'high', tasks: random.pick([1, 1, 2, 2, 4, 8]), cpus: 14, gpus: 4 },
    ...{ memoryGb: 100, image: drawImage(random, 'train', 6), singleZone: true },
    ...{ spot: false, checkpointIntervalS: 20, checkpointSaveS: 2 },
  };
}

function scoringJob(random: SeededRandom, common: CommonFields): JobSpec {
  return {
    ...{ ...common, class: 'score', team: 'red', kind: 'array', priority: 'normal' },
    ...{ tasks: Math.ceil(random.between(1, 20)), cpus: random.between(2, 4), gpus: 1 },
    ...{ memoryGb: 20, image: drawImage(random, 'score', 8), singleZone: false },
    ...{ spot: true, checkpointIntervalS: 0, checkpointSaveS: 0 },
  };
}

function printJob(random: SeededRandom, common: CommonFields): JobSpec {
  return {
    ...{ ...common, class: 'print', team: 'blue', kind: 'array', priority: 'normal' },
    ...{ tasks: Math.ceil(random.between(1, 60)), cpus: 1, gpus: 0, memoryGb: 2 },
    ...{ image: drawImage(random, 'print', 8), singleZone: false, spot: true },
    ...{ checkpointIntervalS: 0, checkpointSaveS: 0 },
  };
}

function drawImage(random: SeededRandom, name: string, count: number): string {
  return `${name}-${Math.floor(random.between(0, count))}`;
}
