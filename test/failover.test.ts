import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { isList, isMap } from '../src/controller/wire/cbor.js';
import type { JobSpec } from '../src/controller/wire/jobs.js';
import { longJobs } from './simulation/scenarios/fault-scenario.js';
import { smallDeployment } from './simulation/deployments/deployment.js';
import { Simulation } from './simulation/simulation.js';

const quiet = { meanIntervalMs: Infinity, duplicated: 0, taskFailures: 0, bootFailures: 0 };

const gang: Partial<JobSpec> = {
  ...{ ...longJobs, class: 'train', kind: 'gang', priority: 'high', tasks: 2, cpus: 2, gpus: 1 },
  ...{ estimatedRunS: 60, spread: false, singleZone: false, types: null, zone: null },
};

/** What the leaders have on record of a class: how much of it came, and with which images. */
interface Learned {
  weight: number;
  images: string[];
}

/** The newest record of the class at the state service. */
function learned(simulation: Simulation, cls: string): Learned {
  let newest = -1;
  let text: unknown = null;
  for (const [key, { value }] of simulation.stateStore.entries) {
    if (!key.startsWith('page/') || !isMap(value)) continue;
    const { seq, entries } = value;
    if (typeof seq !== 'number' || seq < newest || !isList(entries)) continue;
    const at = entries.indexOf(`learned/${cls}`);
    if (at < 0) continue;
    newest = seq;
    text = entries[at + 1];
  }
  assert.ok(typeof text === 'string', `nothing on record of ${cls}`);
  const record: unknown = JSON.parse(text);
  const arrivals = isMap(record) ? record['arrivals'] : null;
  const classes = isMap(arrivals) ? arrivals['classes'] : null;
  const stats: unknown = isList(classes) ? classes[0] : null;
  assert.ok(isMap(stats) && isMap(stats['images']), text);
  return { weight: Number(stats['weight']), images: Object.keys(stats['images']).sort() };
}

describe('a leader that takes over', () => {
  // Deployment "Trapezi grown": after each change of leader gangs waited longer for their room.
  for (const seed of [1, 2, 3])
    it(`goes on from what the leader before has learned, though jobs are live, seed ${seed}`, () => {
      const simulation = new Simulation(smallDeployment, seed, quiet);
      for (let i = 0; i < 8; i++)
        simulation.clock.after(10_000 + i * 4000, () =>
          simulation.submit(simulation.jobWith({ ...gang, image: `img-${1 + (i % 3)}` }), null),
        );
      simulation.play(60_000);
      const before = learned(simulation, 'train');
      const first = simulation.leader;
      assert.ok(first !== null);
      simulation.kill(first, 30_000);
      simulation.play(40_000);
      assert.ok(simulation.leader !== null && simulation.leader !== first, 'another leads');
      const after = learned(simulation, 'train');
      assert.deepEqual(after.images, before.images);
      // No job has come since: the weight is the same, and decays only as it is used.
      assert.equal(after.weight, before.weight);
    });
});
