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
  const admittedCases: [condition: string, overrides: Partial<JobSpec>][] = [
    ['an array with more tasks than its team may run at once', { tasks: 100 }],
    [
      'a gang that uses exactly the limits of its team',
      { kind: 'gang', tasks: 2, cpus: 4, gpus: 2 },
    ],
    [
      'a gang whose CPUs exceed the limit by a rounding error',
      { kind: 'gang', tasks: 30, cpus: 0.2666666666666667 },
    ],
    [
      'a job restricted to a zone that has a suitable machine type',
      { zone: 'b', types: ['type-b'] },
    ],
    [
      'a spread gang with suitable machine types in two zones',
      { kind: 'gang', spread: true, types: ['type-a', 'type-b'] },
    ],
    [
      'a spread gang of a single task in one zone',
      { kind: 'gang', tasks: 1, spread: true, zone: 'a' },
    ],
    ['a spread array in one zone', { spread: true, zone: 'a' }],
  ];
  for (const [condition, overrides] of admittedCases)
    it(`admits ${condition}`, () =>
      assert.deepEqual(admit(arraySpec(overrides), teams, types), { kind: 'admitted' }));

  const refusedCases: [condition: string, overrides: Partial<JobSpec>, reason: string][] = [
    ['of an unknown team', { team: 'nobody' }, 'unknown team'],
    ['with a task that exceeds the CPU limit of the team', { cpus: 8.1 }, tooManyCpus],
    ['with a task that exceeds the GPU limit of the team', { gpus: 5 }, tooManyGpus],
    ['that is a gang beyond the CPU limit of the team', { kind: 'gang', tasks: 9 }, tooManyCpus],
    [
      'that is a service beyond the GPU limit of the team',
      { kind: 'service', tasks: 5, gpus: 1 },
      tooManyGpus,
    ],
    ['with a task larger than every machine type', { memoryGb: 65 }, noMachineType],
    ['that allows only unknown machine types', { types: ['other'] }, noMachineType],
    [
      'whose zone has none of its allowed machine types',
      { zone: 'b', types: ['type-a'] },
      noMachineType,
    ],
    [
      'that must be spread but may use only one zone',
      { kind: 'gang', spread: true, zone: 'a' },
      tooFewZones,
    ],
    [
      'that must both be spread and stay within a single zone',
      { kind: 'gang', spread: true, singleZone: true },
      tooFewZones,
    ],
  ];
  for (const [condition, overrides, reason] of refusedCases)
    it(`refuses a job ${condition}`, () => {
      const expected: Admission = { kind: 'refused', reason };
      assert.deepEqual(admit(arraySpec(overrides), teams, types), expected);
    });

  it('is undecided while machine types are not known, unless the job exceeds a team limit', () => {
    assert.deepEqual(admit(arraySpec(), teams, null), { kind: 'undecided' });
    assert.equal(admit(arraySpec({ cpus: 9 }), teams, null).kind, 'refused');
  });
});
