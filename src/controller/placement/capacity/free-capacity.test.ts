import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { capacityOf, gpuArraySpec } from '../../../../test/placement-fixtures.js';
import type { JobSpec } from '../../wire/jobs.js';
import { resourceRequestOf } from '../../model/resource-request.js';
import type { FreeCapacity } from './free-capacity.js';

describe('FreeCapacity', () => {
  const gang = gpuArraySpec({ kind: 'gang', tasks: 1 });
  const countFitting = (
    capacity: FreeCapacity,
    spec: JobSpec,
    level: number,
    endsAt: number,
  ): number => capacity.countFitting({ spec, level, endsAt, backfillRatio: 0.9, now: 0 });

  it('counts the whole tasks that fit, limited by the scarcest resource', () => {
    assert.equal(capacityOf().countFittingIgnoringClaims(resourceRequestOf(gang)), 4);
    assert.equal(
      capacityOf().countFittingIgnoringClaims({ cpus: 16.0000001, gpus: 0, memoryGb: 0 }),
      1,
    );
    assert.equal(capacityOf().countFittingIgnoringClaims({ cpus: 1, gpus: 0, memoryGb: 33 }), 1);
  });

  it('admits tasks to claimed capacity only if they end within the backfill ratio', () => {
    const capacity = capacityOf();
    capacity.claimForTask({ cpus: 8, gpus: 3, memoryGb: 8 }, 100_000);
    assert.equal(countFitting(capacity, gang, 1, 95_000), 1);
    assert.equal(countFitting(capacity, gang, 1, 80_000), 4);
    assert.equal(countFitting(capacity, gang, 1, Infinity), 1, 'a service never ends');
  });

  it('denies headroom to small job arrays, but not to gangs or jobs of higher priority', () => {
    const capacity = capacityOf();
    const wholeMachineGang = gpuArraySpec({ kind: 'gang', class: 'whole', gpus: 4, cpus: 14 });
    capacity.claimHeadroom(1, 0, { spec: wholeMachineGang, level: 1, minSizeRatio: 1.5 });
    const smallArray = gpuArraySpec({ kind: 'array', class: 'small' });
    assert.equal(countFitting(capacity, smallArray, 1, 1000), 0);
    assert.equal(countFitting(capacity, smallArray, 2, 1000), 4);
    assert.equal(countFitting(capacity, gang, 1, 1000), 4);
    assert.equal(countFitting(capacity, wholeMachineGang, 1, 1000), 1);
    assert.ok(capacity.intrudesOnHeadroom(smallArray));
  });
});
