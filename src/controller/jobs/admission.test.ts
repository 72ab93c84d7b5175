import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { arraySpec } from '../../../test/fakes.js';
import { standalonePlatform } from '../../../test/platform.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';
import { admit, type Admission } from './admission.js';

const { teams } = standalonePlatform(
  '[[params.teams]]\nname = "t"\ncpus_max = 8.0\ngpus_max = 4.0\n',
);

const types: MachineType[] = ['a', 'b', 'c'].map((zone) => ({
  ...{ name: `type-${zone}`, cpus: 4, gpus: 2, memoryGb: 64, cacheGb: 10, fetchGbPerS: 1 },
  ...{ price: 1, spotPrice: 1, bootS: 1, zones: [zone] },
}));

const tooManyCpus = 'more CPUs than the team may use';
const tooManyGpus = 'more GPUs than the team may use';
const noMachineType = 'a task fits no allowed machine type';
const tooFewZones = 'too few zones to scatter its tasks over';

describe('admission', () => {
  const admittedCases: [condition: string, part: Partial<JobSpec>][] = [
    ['an array of more tasks than may run at once', { tasks: 100 }],
    ['a gang that has all that its team may use', { kind: 'gang', tasks: 2, cpus: 4, gpus: 2 }],
    [
      'a gang whose CPUs exceed the limit by a rounding error',
      { kind: 'gang', tasks: 30, cpus: 0.2666666666666667 },
    ],
    ['a job bound to a zone that has a machine type for it', { zone: 'b', types: ['type-b'] }],
    [
      'a spread gang when two zones have a machine type',
      { kind: 'gang', spread: true, types: ['type-a', 'type-b'] },
    ],
    ['a spread gang of one task in one zone', { kind: 'gang', tasks: 1, spread: true, zone: 'a' }],
    ['a spread array in one zone', { spread: true, zone: 'a' }],
  ];
  for (const [condition, overrides] of admittedCases)
    it(`admits ${condition}`, () =>
      assert.deepEqual(admit(arraySpec(overrides), teams, types), { kind: 'admitted' }));

  const refusedCases: [condition: string, part: Partial<JobSpec>, reason: string][] = [
    ['of an unknown team', { team: 'nobody' }, 'unknown team'],
    ['with a task beyond the limit on CPUs', { cpus: 8.1 }, tooManyCpus],
    ['with a task beyond the limit on GPUs', { gpus: 5 }, tooManyGpus],
    ['of a gang beyond the limit on CPUs', { kind: 'gang', tasks: 9 }, tooManyCpus],
    ['of a service beyond the limit on GPUs', { kind: 'service', tasks: 5, gpus: 1 }, tooManyGpus],
    ['with a task larger than every machine', { memoryGb: 65 }, noMachineType],
    ['that allows no known machine type', { types: ['other'] }, noMachineType],
    ['whose zone has no allowed machine type', { zone: 'b', types: ['type-a'] }, noMachineType],
    ['to spread over one zone', { kind: 'gang', spread: true, zone: 'a' }, tooFewZones],
    ['to spread within one zone', { kind: 'gang', spread: true, singleZone: true }, tooFewZones],
  ];
  for (const [condition, overrides, reason] of refusedCases)
    it(`refuses a job ${condition}`, () => {
      const expected: Admission = { kind: 'refused', reason };
      assert.deepEqual(admit(arraySpec(overrides), teams, types), expected);
    });

  it('is undecided while machine types are not known, unless a limit refuses the job', () => {
    assert.deepEqual(admit(arraySpec(), teams, null), { kind: 'undecided' });
    assert.equal(admit(arraySpec({ cpus: 9 }), teams, null).kind, 'refused');
  });
});
