import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { gpuJob } from '../../../../test/placement-fixtures.js';
import type { Job } from '../../model/entities.js';
import type { JobSpec, Priority } from '../../wire/jobs.js';
import { compareRank, compareQueued, rankTime, queuedJob, type RankSettings } from './rank.js';

const settings: RankSettings = {
  agingMs: 400_000,
  preemptionBonus: 0.25,
  missedDeadlinePenalty: 0.5,
  startDeadlines: () => [],
};

let jobCount = 0;

/** Creates a job with a higher id than all jobs created before. */
function submitted(overrides: Partial<JobSpec>, submittedAt: number): Job {
  return gpuJob({ id: `req-${jobCount++}`, ...overrides }, submittedAt);
}

/** Compares two jobs by rank. */
function compareByRank(a: Job, b: Job, rankSettings: RankSettings, now: number): number {
  return compareRank(queuedJob(a, rankSettings, now), queuedJob(b, rankSettings, now));
}

/** Compares two jobs by their position in the queue of a pass. */
function comparePositions(a: Job, b: Job, now: number): number {
  return compareQueued(queuedJob(a, settings, now), queuedJob(b, settings, now));
}

describe('rank', () => {
  it('orders jobs by priority, then submission time, then id', () => {
    const low = submitted({ priority: 'low' }, 0);
    const high = submitted({ priority: 'high' }, 5000);
    const later = submitted({ priority: 'high' }, 6000);
    const twin = submitted({ priority: 'high' }, 6000);
    const sorted = [twin, later, low, high].sort((a, b) => compareByRank(a, b, settings, 0));
    assert.deepEqual(sorted, [high, later, twin, low]);
  });

  it('is a total order, and puts a job that has waited long before newer jobs of higher priority', () => {
    const anyJob = fc.record({
      priority: fc.constantFrom<Priority>('low', 'normal', 'high', 'production'),
      submittedAt: fc.nat(1_000_000),
      preemptions: fc.nat(3),
    });
    fc.assert(
      fc.property(fc.array(anyJob, { minLength: 3, maxLength: 3 }), (list) => {
        const [a, b, c] = list.map(({ priority, submittedAt, preemptions }) => {
          const job = submitted({ priority }, submittedAt);
          job.preemptionCount = preemptions;
          return job;
        });
        if (a === undefined || b === undefined || c === undefined) return;
        assert.notEqual(compareByRank(a, b, settings, 0), 0);
        assert.equal(
          Math.sign(compareByRank(a, b, settings, 0)),
          -Math.sign(compareByRank(b, a, settings, 0)),
        );
        if (compareByRank(a, b, settings, 0) < 0 && compareByRank(b, c, settings, 0) < 0)
          assert.ok(compareByRank(a, c, settings, 0) < 0);
      }),
      { seed: 4 },
    );
    const old = submitted({ priority: 'low' }, 0);
    assert.ok(
      rankTime(old, settings, 0) <
        rankTime(submitted({ priority: 'production' }, 1_200_001), settings, 0),
    );
  });
});

describe('rank with start deadlines', () => {
  const settingsWithDeadlines: RankSettings = {
    ...settings,
    startDeadlines: () => [10_000, 60_000],
  };
  it('follows the next deadline that can be met, and puts a job that missed a deadline after others', () => {
    const old = submitted({}, 0);
    const young = submitted({}, 5000);
    assert.ok(compareByRank(old, young, settingsWithDeadlines, 0) < 0);
    assert.ok(compareByRank(old, young, settingsWithDeadlines, 10_001) > 0);
    assert.ok(
      compareByRank(old, young, settingsWithDeadlines, 100_000) < 0,
      'both jobs missed all deadlines, so the submission time decides',
    );
    const muchLater = submitted({}, 400_000);
    assert.ok(
      compareByRank(old, muchLater, settingsWithDeadlines, 400_000) < 0,
      'a job that missed its deadlines does not starve',
    );
  });
});

describe('order of the queue of a pass', () => {
  // Guards against gangs of two teams that preempt each other repeatedly: a preempted gang used to be
  // placed before the gang that preempted it. Seen in the benchmark scenario "rough" of the deployment caroni.
  it('puts a gang before its victim while the preemption is recent', () => {
    const victim = submitted({}, 0);
    victim.preemptionCount = 1;
    const gang = submitted({}, 5000);
    gang.preemptionClaimUntil = 30_000;
    assert.ok(comparePositions(gang, victim, 20_000) < 0);
    assert.ok(comparePositions(gang, victim, 40_000) > 0);
  });
});
