import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { JobStateCache } from './job-state-cache.js';

const MAX_JOBS = 2;

describe('JobStateCache', () => {
  let cache: JobStateCache;

  beforeEach(() => {
    cache = new JobStateCache(MAX_JOBS);
  });

  it('can mark a job as active without a version, and keeps a known version', () => {
    cache.markActive('req-1');
    assert.deepEqual([cache.isActive('req-1'), cache.activeVersion('req-1')], [true, undefined]);
    cache.setActiveVersion('req-1', 5);
    cache.markActive('req-1');
    assert.equal(cache.activeVersion('req-1'), 5);
    cache.forgetActive('req-1');
    assert.ok(!cache.isActive('req-1'));
  });

  it('keeps the first terminal state, and removes the job from the active ones', () => {
    cache.setActiveVersion('req-1', 5);
    cache.markTerminal('req-1', 'done');
    cache.markTerminal('req-1', 'cancelled');
    assert.deepEqual([cache.terminalState('req-1'), cache.isActive('req-1')], ['done', false]);
  });

  it('drops the oldest jobs beyond its limit, separately for active and terminal jobs', () => {
    for (const id of ['req-1', 'req-2', 'req-3']) {
      cache.markTerminal(id, 'done');
      cache.markActive(`${id}-active`);
    }
    const terminal = ['req-1', 'req-2', 'req-3'].filter((id) => cache.terminalState(id));
    const active = ['req-1', 'req-2', 'req-3'].filter((id) => cache.isActive(`${id}-active`));
    assert.deepEqual(
      [terminal, active],
      [
        ['req-2', 'req-3'],
        ['req-2', 'req-3'],
      ],
    );
  });
});
