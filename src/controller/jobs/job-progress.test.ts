import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { acceptedJob } from '../../../test/fakes.js';
import type { JobProgress } from '../peers/message.js';
import { ProgressCache, takeChangedProgress } from './job-progress.js';

function progressOf(id: string, blocked = ''): JobProgress {
  return { id, state: 'running', done: 1, running: 2, exits: {}, blocked };
}

describe('ProgressCache', () => {
  it('returns the last progress, with a reason for waiting only if the job is blocked', () => {
    const cache = new ProgressCache();
    cache.set(progressOf('req-1'));
    const { blocked, ...counts } = progressOf('req-1');
    assert.equal(blocked, '');
    assert.deepEqual(cache.status('req-1'), counts);
    cache.set(progressOf('req-1', 'no room'));
    assert.equal(cache.status('req-1')?.blocked, 'no room');
    cache.delete('req-1');
    assert.equal(cache.status('req-1'), null);
  });

  it('drops the job with the oldest progress when it exceeds its maximum size', () => {
    const cache = new ProgressCache(2);
    for (const id of ['req-1', 'req-2', 'req-1', 'req-3']) cache.set(progressOf(id));
    assert.equal(cache.status('req-2'), null);
    assert.notEqual(cache.status('req-1'), null);
  });
});

describe('takeChangedProgress', () => {
  it('returns the progress of each job once after each change', () => {
    const jobs = [acceptedJob({ id: 'req-1' }), acceptedJob({ id: 'req-2' })];
    const takenProgress = takeChangedProgress(jobs);
    assert.deepEqual(
      takenProgress.map(({ id }) => id),
      ['req-1', 'req-2'],
    );
    assert.deepEqual(takeChangedProgress(jobs), []);
    const [firstJob] = jobs;
    assert.ok(firstJob);
    firstJob.exitCounts = { error: 1 };
    firstJob.blockedReason = 'no room';
    firstJob.progressChanged = true;
    assert.deepEqual(takeChangedProgress(jobs), [
      {
        id: 'req-1',
        state: 'queued',
        done: 0,
        running: 0,
        exits: { error: 1 },
        blocked: 'no room',
      },
    ]);
  });
});
