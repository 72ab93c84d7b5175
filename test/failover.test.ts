/** Checks that a new leader keeps the learned statistics that the previous leader recorded. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { isList, isMap } from '../src/controller/wire/cbor.js';
import type { JobSpec } from '../src/controller/wire/jobs.js';
import { smallDeployment } from './simulation/deployments/small.js';
import { noFaults } from './simulation/faults/fault-rates.js';
import { longJobs } from './simulation/scenarios/fault-scenario.js';
import { Simulation } from './simulation/simulation.js';

const CLASS = 'train';
const gang: Partial<JobSpec> = {
  ...{ ...longJobs, class: CLASS, kind: 'gang', priority: 'high', tasks: 2, cpus: 2, gpus: 1 },
  ...{ estimatedRunS: 60, spread: false, singleZone: false, types: null, zone: null },
};
const GANG_COUNT = 8;
const IMAGE_COUNT = 3;

/** The recorded arrivals of a job class: the decaying count of its tasks, and the images of its jobs. */
interface RecordedArrivals {
  weight: number;
  images: string[];
}

/** Returns the text of the class's learned statistics, in the newest version that the state store's pages hold. */
function recordedStatistics(simulation: Simulation): string {
  let newestSequence = -1;
  let text: unknown = null;
  for (const [key, { value }] of simulation.stateStore.entries) {
    if (!key.startsWith('page/') || !isMap(value)) continue;
    const { seq, entries } = value;
    if (typeof seq !== 'number' || seq < newestSequence || !isList(entries)) continue;
    const index = entries.indexOf(`learned/${CLASS}`);
    if (index < 0) continue;
    newestSequence = seq;
    text = entries[index + 1];
  }
  assert.ok(typeof text === 'string', `no learned statistics of class ${CLASS} in any page`);
  return text;
}

function recordedArrivals(simulation: Simulation): RecordedArrivals {
  const text = recordedStatistics(simulation);
  const record: unknown = JSON.parse(text);
  const arrivals = isMap(record) ? record['arrivals'] : null;
  const classes = isMap(arrivals) ? arrivals['classes'] : null;
  const statistics: unknown = isList(classes) ? classes[0] : null;
  assert.ok(isMap(statistics) && isMap(statistics['images']), text);
  return {
    weight: Number(statistics['weight']),
    images: Object.keys(statistics['images']).sort(),
  };
}

/** Submits gangs one after the other; each runs for longer than the test. */
function submitGangs(simulation: Simulation): void {
  for (let i = 0; i < GANG_COUNT; i++)
    simulation.clock.after(10_000 + i * 4000, () => {
      const image = `img-${1 + (i % IMAGE_COUNT)}`;
      simulation.submit(simulation.jobWith({ ...gang, image }), null);
    });
}

describe('a new leader', () => {
  // Guards against a failure in deployment "Trapezi grown": after each failover, gangs waited longer for
  // their capacity.
  for (const seed of [1, 2, 3])
    it(`keeps the recorded statistics of a class that has active jobs, seed ${seed}`, () => {
      const simulation = new Simulation(smallDeployment, seed, noFaults);
      submitGangs(simulation);
      simulation.play(60_000);
      const before = recordedArrivals(simulation);
      const { leader } = simulation;
      assert.ok(leader !== null);
      simulation.kill(leader, 30_000);
      simulation.play(40_000);
      assert.ok(
        simulation.leader !== null && simulation.leader !== leader,
        'no other controller was elected',
      );
      const after = recordedArrivals(simulation);
      assert.deepEqual(after.images, before.images);
      // The stored weight changes only when a job is submitted. No job was submitted since the first reading.
      assert.equal(after.weight, before.weight);
    });
});
