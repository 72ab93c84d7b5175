import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PendingTasks } from './pending-tasks.js';

describe('PendingTasks', () => {
  it('contains each task at most once, the lowest number first', () => {
    const pending = new PendingTasks(4);
    assert.equal(pending.pop(), 0);
    pending.push(0);
    pending.push(0);
    pending.remove(1);
    pending.retain((task) => task !== 3);
    assert.deepEqual(
      [pending.length, pending.pop(), pending.pop(), pending.pop()],
      [...[2, 0, 2, undefined]],
    );
  });

  it('returns a requeued task before tasks that have not run', () => {
    const pending = new PendingTasks(3);
    assert.deepEqual([pending.pop(), pending.pop()], [0, 1]);
    pending.push(0);
    assert.deepEqual([pending.has(0), pending.has(1), pending.has(2)], [true, false, true]);
    assert.deepEqual([pending.pop(), pending.pop()], [0, 2]);
  });
});
