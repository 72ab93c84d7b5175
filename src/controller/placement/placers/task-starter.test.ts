import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { capacityOf, gpuJob } from '../../../../test/placement-fixtures.js';
import type { Int } from '../../wire/integers.js';
import { TaskStarter } from './task-starter.js';

describe('TaskStarter', () => {
  it('starts the lowest pending tasks of a gang with one attempt number that is unique to the term', () => {
    const started: [task: number, attempt: Int][] = [];
    const starter = new TaskStarter(
      { term: 3, assign: (_, task, attempt) => started.push([task, attempt]) },
      () => undefined,
    );
    const attempt = starter.nextAttempt();
    assert.equal(attempt, 3 * 2 ** 22 + 1);
    starter.start(gpuJob({ kind: 'gang' }), capacityOf(), 5, attempt);
    assert.deepEqual(started, [
      [0, attempt],
      [1, attempt],
    ]);
  });
});
