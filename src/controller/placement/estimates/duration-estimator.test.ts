import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { bigMachine, gpuArraySpec, gpuJob } from '../../../../test/placement-fixtures.js';
import type { JobSpec } from '../../wire/jobs.js';
import type { Assignment } from '../../model/entities.js';
import { DurationEstimator } from './duration-estimator.js';

describe('estimated time of an image fetch', () => {
  // Guards against estimates that ignore concurrent fetches: two gangs with different images on one machine
  // each fetched for 50 s instead of 25 s.
  it('includes the images fetched at the same time, and is 0 if the image is cached', () => {
    const machine = bigMachine();
    const estimator = new DurationEstimator();
    const spec = gpuArraySpec({ image: 'x', imageGb: 10 });
    assert.equal(estimator.fetchMs(spec, machine, 0), 10_000);
    machine.assignments.set('req-x/0', {
      job: gpuJob({ image: 'y', imageGb: 4 }),
      state: 'fetching',
      phase: 'seen',
    } as Assignment);
    assert.equal(estimator.fetchMs(spec, machine, 0), 14_000);
    assert.ok(estimator.needsFetch(spec, machine));
    machine.recordImageUse('x', 10);
    assert.equal(estimator.fetchMs(spec, machine, 0), 0);
    assert.ok(!estimator.needsFetch(spec, machine));
  });
});

describe('estimated remaining run time', () => {
  const machine = bigMachine();
  const remainingRunMs = (
    estimator: DurationEstimator,
    spec: JobSpec,
    elapsedMs: number,
  ): number => {
    const assignment = { job: gpuJob(spec), machine, stop: null, state: 'running', assignedAt: 0 };
    return estimator.remainingMs(
      { ...assignment, runningAt: 0, phase: 'seen' } as unknown as Assignment,
      elapsedMs,
    );
  };

  // Guards against trust in unreliable estimates: gangs of users with inaccurate estimates appeared to be
  // almost done for minutes, and reservations waited for them instead of preempting.
  it('is longer for a class with less reliable estimates, and always positive', () => {
    const reliable = new DurationEstimator();
    const unreliable = new DurationEstimator();
    const spec = gpuArraySpec({ estimatedRunS: 100 });
    for (let i = 0; i < 60; i++) {
      reliable.observe(spec, 100_000 * (i % 2 === 0 ? 1.05 : 0.95));
      unreliable.observe(spec, 100_000 * (i % 2 === 0 ? 2 : 0.5));
    }
    for (const elapsedMs of [50_000, 90_000, 100_000, 150_000, 1e9]) {
      assert.ok(remainingRunMs(reliable, spec, elapsedMs) > 0);
      assert.ok(
        remainingRunMs(unreliable, spec, elapsedMs) > remainingRunMs(reliable, spec, elapsedMs),
      );
    }
    assert.ok(Math.abs(remainingRunMs(reliable, spec, 0) - 100_000) < 5000);
    assert.ok(remainingRunMs(reliable, spec, 90_000) < 20_000);
    assert.ok(remainingRunMs(unreliable, spec, 100_000) > 40_000);
    const restored = new DurationEstimator();
    restored.importStatistics(unreliable.exportStatistics());
    assert.equal(remainingRunMs(restored, spec, 50_000), remainingRunMs(unreliable, spec, 50_000));
  });
});
