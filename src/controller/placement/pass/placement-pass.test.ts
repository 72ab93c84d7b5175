import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  bigMachine,
  capacityIn,
  gpuJob,
  passOver,
  queued,
} from '../../../../test/placement-fixtures.js';

describe('PlacementPass', () => {
  it('takes jobs in order of rank, and requeued jobs last', () => {
    const [first, second] = [
      queued(gpuJob({ id: 'req-1' }), 1),
      queued(gpuJob({ id: 'req-2' }), 2),
    ];
    const pass = passOver([], [second, first]);
    assert.ok(!pass.isStarted());
    assert.equal(pass.take(), first);
    pass.requeue(first);
    assert.deepEqual([pass.take(), pass.isFinished()], [second, false]);
    assert.equal(pass.take(), first);
    assert.ok(pass.isFinished());
  });

  it('resets forecasts and schedulability of the machines when it resumes after an interruption', () => {
    const pass = passOver([bigMachine(), bigMachine('n-2')]);
    const capacity = capacityIn(pass, 'n-1');
    capacity.forecast = {
      ...{ expectedEnds: [], hasStopping: false, longestSaveMs: 0 },
      ...{ lowestLevel: 0, hasUnguaranteed: false },
    };
    pass.resume(7, ({ id }) => id === 'n-2');
    assert.deepEqual([pass.now, capacity.unschedulable, capacity.forecast], [7, true, null]);
    assert.ok(!capacityIn(pass, 'n-2').unschedulable);
  });
});
