import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { batchCluster } from '../../../test/placement-cluster.js';
import { NegativeSearchCache } from './pass/negative-search-cache.js';
import type { Placement } from './placement.js';

/** Records no failed search, so that every search is made. */
class NoOpSearchCache extends NegativeSearchCache {
  override addNoCapacity(): void {
    // Records nothing.
  }

  override addNoVictims(): void {
    // Records nothing.
  }
}

/** Runs a pass that searches all machines for every job. */
function runPassWithoutCache(placement: Placement): void {
  placement.begin();
  const { current } = placement as unknown as { current: Record<string, unknown> };
  assert.ok(current['negativeSearches'] instanceof NegativeSearchCache);
  Object.assign(current, { negativeSearches: new NoOpSearchCache() });
  placement.advance(Infinity);
}

describe('a placement pass', () => {
  it('makes the same decisions as a pass without the cache of failed searches', () => {
    const anyJob = fc.record({
      kind: fc.constantFrom<'array' | 'gang'>('array', 'gang'),
      team: fc.constantFrom('owner', 'guest'),
      tasks: fc.integer({ min: 1, max: 6 }),
      gpus: fc.constantFrom(0, 1, 2, 4),
      cpus: fc.constantFrom(1, 2, 5),
      priority: fc.constantFrom<'low' | 'normal' | 'high'>('low', 'normal', 'high'),
      image: fc.constantFrom('x', 'y', 'z'),
      deadlineS: fc.constantFrom(null, 600, 5000),
    });
    const steps = fc.array(
      fc.record({ jobs: fc.array(anyJob, { maxLength: 4 }), completedJobNumber: fc.nat(20) }),
      { minLength: 4, maxLength: 12 },
    );
    fc.assert(
      fc.property(steps, (generatedSteps) => {
        const clusters = [batchCluster(), batchCluster(runPassWithoutCache)];
        for (const { jobs, completedJobNumber } of generatedSteps) {
          for (const cluster of clusters) {
            for (const job of jobs) cluster.add(job);
            cluster.run(2);
            cluster.complete(`req-${completedJobNumber}`);
            cluster.step();
          }
          assert.deepEqual(clusters[0]?.describe(), clusters[1]?.describe());
        }
      }),
      { seed: 8, numRuns: 80 },
    );
  });
});
