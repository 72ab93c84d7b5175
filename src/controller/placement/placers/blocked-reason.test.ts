import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { gpuJob } from '../../../../test/placement-fixtures.js';
import { setBlockedReason } from './blocked-reason.js';

describe('setBlockedReason', () => {
  it('marks the progress of the job as changed only if the reason differs', () => {
    const job = gpuJob();
    job.progressChanged = false;
    setBlockedReason(job, '');
    assert.ok(!job.progressChanged);
    setBlockedReason(job, 'no room');
    assert.deepEqual([job.progressChanged, job.blockedReason], [true, 'no room']);
  });
});
