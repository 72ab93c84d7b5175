import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { immediateRecords } from '../../../test/fake-records.js';
import type { JobSpec } from '../wire/jobs.js';
import { CompletionRecords } from './completion-records.js';
import { Job } from '../model/entities.js';
import { PendingTasks } from '../model/pending-tasks.js';

function job(id: string, tasks: number): Job {
  const spec: JobSpec = {
    ...{ id, class: 'c', team: 't', kind: 'array', priority: 'normal', tasks },
    ...{ cpus: 1, gpus: 0, memoryGb: 1, image: 'i', imageGb: 1, types: null, zone: null },
    ...{
      singleZone: false,
      spread: false,
      spot: true,
      estimatedRunS: 10,
      checkpointIntervalS: 0,
      checkpointSaveS: 0,
    },
    deadlineS: null,
  };
  return new Job(spec, 0, 1, 0);
}

describe('completions', () => {
  const done = [0, 7, 8, 8191, 8192, 9999];

  it('come back from the records, across their borders', () => {
    const records = immediateRecords();
    const told: number[] = [];
    const before = job('req-1', 10_000);
    const completions = new CompletionRecords(records, (_job, task) => told.push(task));
    for (const task of done) {
      before.done[task] = 1;
      completions.add(before, task);
    }
    completions.flush();
    assert.deepEqual(told, done);
    assert.deepEqual(
      [...records.list('p/')].map(({ key }) => key),
      ['p/req-1/0', 'p/req-1/1'],
    );
    const after = job('req-1', 10_000);
    new CompletionRecords(records, () => undefined).load(new Map([['req-1', after]]));
    assert.deepEqual(
      [...after.done.entries()].filter(([, flag]) => flag === 1).map(([task]) => task),
      done,
    );
    assert.equal(after.doneRecordedCount, done.length);
  });

  it('go with their job', () => {
    const records = immediateRecords();
    const completions = new CompletionRecords(records, () => undefined);
    const ended = job('req-1', 10_000);
    for (const task of done) completions.add(ended, task);
    completions.flush();
    completions.remove(ended);
    assert.deepEqual([...records.list('p/')], []);
  });

  it('of jobs that are not known any more are removed', () => {
    const records = immediateRecords({ 'p/req-0/0': 'AQ==' });
    new CompletionRecords(records, () => undefined).load(new Map());
    assert.ok(!records.has('p/req-0/0'));
  });
});

describe('pending tasks', () => {
  it('wait once each, lowest first', () => {
    const pending = new PendingTasks(4);
    assert.equal(pending.pop(), 0);
    pending.push(0);
    pending.push(0);
    pending.remove(1);
    pending.retain((task) => task !== 3);
    assert.deepEqual(
      [pending.length, pending.pop(), pending.pop(), pending.pop()],
      [...[2, 0, 2, undefined]],
    );
  });
});
