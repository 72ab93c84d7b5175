import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  bigMachine,
  candidate,
  capacityIn,
  defaultSettings,
  gpuJob,
  passOver,
  queued,
} from '../../../../test/placement-fixtures.js';
import { IndependentTaskPlacer } from './independent-task-placer.js';
import { resourceRequestOf } from '../../model/resource-request.js';

describe('IndependentTaskPlacer', () => {
  it('starts tasks that fit, reports the others as a shortage, and claims capacity freed by preemption', () => {
    const pass = passOver([bigMachine()], [], 0);
    const capacity = capacityIn(pass, 'n-1');
    const started: number[] = [];
    const placer = new IndependentTaskPlacer({
      settings: defaultSettings,
      teamUsage: { allowance: () => 5 },
      startDeadlines: { next: () => Infinity },
      candidateFinder: { find: () => [candidate(capacity, 2)] },
      taskStarter: { start: (_job, _capacity, count) => started.push(count) },
      reservationCandidateFinder: {
        find: () => [{ capacity, fillAt: 9, victims: [], lostWorkMs: 0, hasStopping: false }],
      },
      preemptor: { preemptAll: () => true },
    });
    const array = gpuJob({ tasks: 6 });
    placer.place(pass, queued(array));
    assert.deepEqual(started, [2]);
    assert.deepEqual(pass.shortages, [{ job: array, tasks: 3 }]);
    assert.deepEqual(capacity.claims, [
      { ...resourceRequestOf(array.spec), fillAt: 9, headroom: null },
    ]);
  });
});
