import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobProgress } from '../peers/message.js';
import { ProgressCache } from './job-progress.js';

const progress = (id: string, blocked = ''): JobProgress => ({
  ...{ id, state: 'running', done: 1, running: 2, exits: {}, blocked },
});

describe('progress of jobs', () => {
  it('answers with the last counts, and why the job is blocked', () => {
    const cache = new ProgressCache();
    cache.set(progress('req-1'));
    const { blocked, ...counts } = progress('req-1');
    assert.equal(blocked, '');
    assert.deepEqual(cache.status('req-1'), counts);
    cache.set(progress('req-1', 'no room'));
    assert.equal(cache.status('req-1')?.blocked, 'no room');
    cache.delete('req-1');
    assert.equal(cache.status('req-1'), null);
  });

  it('drops the job that was not heard of for longest', () => {
    const cache = new ProgressCache(2);
    for (const id of ['req-1', 'req-2', 'req-1', 'req-3']) cache.set(progress(id));
    assert.equal(cache.status('req-2'), null);
    assert.notEqual(cache.status('req-1'), null);
  });
});
