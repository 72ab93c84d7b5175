import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Job } from '../model/entities.js';
import { isList, isMap } from '../wire/cbor.js';
import type { JobSpec } from '../wire/jobs.js';
import { DurationEstimator } from './estimates/duration-estimator.js';
import { ClassHeadroom } from './headroom/class-headroom.js';

const WALL = 1_700_000_000_000;

function job(part: Partial<JobSpec>, at: number): Job {
  const spec: JobSpec = {
    ...{ id: `req-${at}`, class: 'train', team: 'red', kind: 'gang', priority: 'high', tasks: 4 },
    ...{ cpus: 4, gpus: 1, memoryGb: 4, image: 'i-1', imageGb: 1, types: null, zone: null },
    ...{
      singleZone: false,
      spread: false,
      spot: true,
      estimatedRunS: 10,
      checkpointIntervalS: 0,
      checkpointSaveS: 0,
    },
    deadlineS: null,
    ...part,
  };
  return new Job(spec, at, 1, at);
}

function newReserve(): ClassHeadroom {
  const settings = { memoryMs: 300_000, share: 0.6, spare: 1 };
  return new ClassHeadroom(settings, new DurationEstimator(), 0, () => null);
}

/** What a leader records of a class. */
function recorded(reserve: ClassHeadroom, cls: string, now: number): Record<string, unknown> {
  const value = reserve.exportStatistics(now, WALL + now).get(cls);
  const classes = isMap(value) ? value['classes'] : [];
  const [stats] = isList(classes) ? classes : [];
  assert.ok(isMap(stats), `nothing of ${cls}`);
  return stats;
}

describe('reserve at a takeover', () => {
  /** A leader that has seen jobs of one class with two images, and how long they stay. */
  function leader(): ClassHeadroom {
    const reserve = newReserve();
    for (let at = 1000; at <= 10_000; at += 1000)
      reserve.recordSubmission(job({ image: at % 2000 === 0 ? 'i-1' : 'i-2' }, at), at);
    reserve.recordOccupancy(job({}, 0).spec, 50_000);
    return reserve;
  }

  it('takes what is on record, though jobs of the class wait since', () => {
    const before = leader();
    const now = 12_000;
    const expected = recorded(before, 'train', now);
    const next = newReserve();
    const records = [...before.exportStatistics(now, WALL + now).values()];
    next.restore(records, [job({}, 9000), job({ image: 'i-2' }, 10_000)], now, WALL + now);
    assert.deepEqual(recorded(next, 'train', now), expected);
  });

  it('starts from the first live job where a class has no record', () => {
    const next = newReserve();
    next.restore([], [job({ tasks: 3 }, 1000), job({ tasks: 2 }, 2000)], 5000, WALL);
    assert.equal(recorded(next, 'train', 5000)['weight'], 3);
  });

  it('takes the newest of several records of a class, in any order', () => {
    const old = leader();
    const oldRecords = [...old.exportStatistics(12_000, WALL + 12_000).values()];
    old.recordSubmission(job({ tasks: 7 }, 20_000), 20_000);
    const newRecords = [...old.exportStatistics(21_000, WALL + 21_000).values()];
    const expected = recorded(old, 'train', 25_000);
    for (const records of [
      [...oldRecords, ...newRecords],
      [...newRecords, ...oldRecords],
    ]) {
      const next = newReserve();
      next.restore(records, [job({}, 20_000)], 25_000, WALL + 25_000);
      assert.deepEqual(recorded(next, 'train', 25_000), expected);
    }
  });
});
