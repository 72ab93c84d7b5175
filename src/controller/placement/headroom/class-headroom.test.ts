import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { bigMachine, gpuJob, passOver } from '../../../../test/placement-fixtures.js';
import type { Job } from '../../model/entities.js';
import { isList, isMap } from '../../wire/cbor.js';
import type { JobSpec } from '../../wire/jobs.js';
import { DurationEstimator } from '../estimates/duration-estimator.js';
import { ClassHeadroom } from './class-headroom.js';

const WALL_CLOCK_MS = 1_700_000_000_000;

function trainingGang(specOverrides: Partial<JobSpec>, submittedAt: number): Job {
  const gang: Partial<JobSpec> = { kind: 'gang', priority: 'high', tasks: 4, image: 'i-1' };
  return gpuJob(
    { id: `req-${submittedAt}`, class: 'train', ...gang, ...specOverrides },
    submittedAt,
  );
}

function newHeadroom(): ClassHeadroom {
  const settings = { memoryMs: 300_000, maxShare: 0.6, spareDeviations: 1 };
  return new ClassHeadroom(settings, new DurationEstimator(), 0, () => null);
}

/** The statistics of the class in the records that a leader stores. */
function recordedStatistics(
  headroom: ClassHeadroom,
  className: string,
  now: number,
): Record<string, unknown> {
  const value = headroom.exportStatistics(now, WALL_CLOCK_MS + now).get(className);
  const classes = isMap(value) ? value['classes'] : [];
  const [stats] = isList(classes) ? classes : [];
  assert.ok(isMap(stats), `no statistics recorded for class ${className}`);
  return stats;
}

describe('headroom after a failover', () => {
  /**
   * Creates the headroom of a leader that has observed jobs of a class with two images, and one task
   * occupancy.
   */
  function observedHeadroom(): ClassHeadroom {
    const headroom = newHeadroom();
    for (let submittedAt = 1000; submittedAt <= 10_000; submittedAt += 1000)
      headroom.recordSubmission(
        trainingGang({ image: submittedAt % 2000 === 0 ? 'i-1' : 'i-2' }, submittedAt),
        submittedAt,
      );
    headroom.recordOccupancy(trainingGang({}, 0).spec, 50_000);
    return headroom;
  }

  it('restores the recorded statistics of a class that has active jobs', () => {
    const predecessor = observedHeadroom();
    const now = 12_000;
    const expected = recordedStatistics(predecessor, 'train', now);
    const successor = newHeadroom();
    const records = [...predecessor.exportStatistics(now, WALL_CLOCK_MS + now).values()];
    successor.restore(
      records,
      [trainingGang({}, 9000), trainingGang({ image: 'i-2' }, 10_000)],
      now,
      WALL_CLOCK_MS + now,
    );
    assert.deepEqual(recordedStatistics(successor, 'train', now), expected);
  });

  it('initializes the statistics of a class without a record from its first active job', () => {
    const successor = newHeadroom();
    successor.restore(
      [],
      [trainingGang({ tasks: 3 }, 1000), trainingGang({ tasks: 2 }, 2000)],
      5000,
      WALL_CLOCK_MS,
    );
    assert.equal(recordedStatistics(successor, 'train', 5000)['weight'], 3);
  });

  it('restores the newest of several records of a class, in whichever order they are read', () => {
    const predecessor = observedHeadroom();
    const oldRecords = [...predecessor.exportStatistics(12_000, WALL_CLOCK_MS + 12_000).values()];
    predecessor.recordSubmission(trainingGang({ tasks: 7 }, 20_000), 20_000);
    const newRecords = [...predecessor.exportStatistics(21_000, WALL_CLOCK_MS + 21_000).values()];
    const expected = recordedStatistics(predecessor, 'train', 25_000);
    for (const records of [
      [...oldRecords, ...newRecords],
      [...newRecords, ...oldRecords],
    ]) {
      const successor = newHeadroom();
      successor.restore(records, [trainingGang({}, 20_000)], 25_000, WALL_CLOCK_MS + 25_000);
      assert.deepEqual(recordedStatistics(successor, 'train', 25_000), expected);
    }
  });
});

describe('claims of headroom', () => {
  const GANG: Partial<JobSpec> = { cpus: 4, gpus: 1, tasks: 4 };

  /** Returns the claims on each machine of a pass after one gang of a class was submitted. */
  function claimsAfterOneGang(waitingClasses: string[], objectiveMs: number | null) {
    const settings = { memoryMs: 300_000, maxShare: 0.5, spareDeviations: 0 };
    const headroom = new ClassHeadroom(settings, new DurationEstimator(), 0, () => objectiveMs);
    headroom.recordSubmission(trainingGang(GANG, 1000), 1000);
    const warmMachine = bigMachine('n-2');
    warmMachine.recordImageUse('i-1', 1);
    const { cluster } = passOver([bigMachine(), warmMachine]);
    headroom.claimHeadroom(cluster, new Set(waitingClasses), 1000);
    return cluster.all.map(({ claims }) => claims.map(({ gpus, fillAt }) => ({ gpus, fillAt })));
  }

  it('are made on machines that cache the image of the class, up to the maximum share of its slots', () => {
    assert.deepEqual(claimsAfterOneGang([], null), [[], [{ gpus: 4, fillAt: 1000 }]]);
  });

  it('are due after the start objective of the class, which lets short tasks backfill them', () => {
    assert.deepEqual(claimsAfterOneGang([], 30_000), [[], [{ gpus: 4, fillAt: 31_000 }]]);
  });

  it('are due at once while a job of the class waits for capacity, which prevents backfill', () => {
    assert.deepEqual(claimsAfterOneGang(['train'], 30_000), [[], [{ gpus: 4, fillAt: 1000 }]]);
  });
});
