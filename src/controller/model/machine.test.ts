import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { acceptedJob } from '../../../test/fakes.js';
import { newMachine } from '../../../test/workers-fixture.js';
import { type Machine, planAssignment } from './entities.js';

describe('Machine', () => {
  let machine: Machine;

  beforeEach(() => {
    machine = newMachine();
  });

  it('counts the resources of its assignments, exactly zero after all are deallocated', () => {
    const job = acceptedJob({ cpus: 0.1, gpus: 1, memoryGb: 0.7 });
    const assignments = [0, 1, 2].map((task) => planAssignment(job, task, 9, machine, 0));
    for (const assignment of assignments) machine.allocate(assignment);
    assert.ok(machine.isBusy);
    assert.equal(machine.gpus, 3);
    assert.equal(machine.taskCountByClass.get('c'), 3);
    for (const assignment of assignments) machine.deallocate(assignment);
    assert.ok(!machine.isBusy);
    assert.deepEqual([machine.cpus, machine.gpus, machine.memoryGb], [0, 0, 0]);
    assert.equal(machine.taskCountByClass.size, 0);
  });

  it('evicts the least recently used images beyond the cache size, but never the last image', () => {
    machine.type = {
      ...{ name: 'g', cpus: 8, gpus: 0, memoryGb: 64, price: 1, spotPrice: 0.5 },
      ...{ cacheGb: 10, fetchGbPerS: 1, bootS: 10, zones: ['a'] },
    };
    assert.ok(machine.recordImageUse('first', 4));
    assert.ok(machine.recordImageUse('second', 4));
    assert.ok(!machine.recordImageUse('first', 4), 'the image is already known');
    machine.recordImageUse('third', 4);
    assert.deepEqual([...machine.images.keys()], ['first', 'third']);
    machine.recordImageUse('larger than the cache', 20);
    assert.deepEqual([...machine.images.keys()], ['larger than the cache']);
  });
});
