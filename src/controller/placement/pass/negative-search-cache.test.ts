import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { NegativeSearchCache } from './negative-search-cache.js';

describe('NegativeSearchCache', () => {
  const request = { cpus: 2, gpus: 1, memoryGb: 4 };

  it('reports no capacity for requests at least as large on the same machine kinds, until cleared', () => {
    const cache = new NegativeSearchCache();
    cache.addNoCapacity({ request: request, kinds: '0' });
    assert.ok(cache.hasNoCapacity({ request: { ...request, cpus: 3 }, kinds: '0' }));
    assert.ok(!cache.hasNoCapacity({ request: { ...request, cpus: 1 }, kinds: '0' }));
    assert.ok(!cache.hasNoCapacity({ request: request, kinds: '0,4' }));
    cache.clear();
    assert.ok(!cache.hasNoCapacity({ request: request, kinds: '0' }));
  });

  it('reports no victims only for jobs that may not preempt more than the job whose search failed', () => {
    const cache = new NegativeSearchCache();
    const query = { request: request, kinds: '0', team: 'red', guaranteed: false, level: 1 };
    cache.addNoVictims(query);
    assert.ok(cache.hasNoVictims({ ...query, level: 0 }));
    assert.ok(!cache.hasNoVictims({ ...query, level: 2 }));
    assert.ok(!cache.hasNoVictims({ ...query, guaranteed: true }));
    assert.ok(!cache.hasNoVictims({ ...query, team: 'blue' }));
  });
});
