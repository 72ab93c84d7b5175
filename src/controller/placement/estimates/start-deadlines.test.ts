import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { gpuJob } from '../../../../test/placement-fixtures.js';
import { StartDeadlines } from './start-deadlines.js';

describe('StartDeadlines', () => {
  const deadlines = new StartDeadlines(
    {
      heartbeatIntervalMs: 1000,
      guaranteeObjectiveMs: 60_000,
      objectivesFor: () => ({ starts: [30_000], ends: [100_000, 5000] }),
    },
    { runMs: () => 10_000 },
  );

  it('leave time for the run, and include the guarantee objective only for guaranteed jobs', () => {
    const job = gpuJob();
    assert.deepEqual(deadlines.of(job), [30_000, 86_000, 0]);
    job.guaranteed = true;
    assert.deepEqual(deadlines.of(job), [30_000, 60_000, 86_000, 0]);
  });

  it('skip deadlines that the job has already missed', () => {
    assert.equal(deadlines.next(gpuJob(), 1), 30_000);
    assert.equal(deadlines.next(gpuJob(), 30_001), 86_000);
    assert.equal(deadlines.next(gpuJob(), 86_001), Infinity);
  });
});
