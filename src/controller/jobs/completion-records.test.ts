import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { immediateRecords } from '../../../test/fake-records.js';
import { acceptedJob } from '../../../test/fakes.js';
import { CompletionRecords } from './completion-records.js';

const ID = 'req-1';
/** More tasks than one record covers. */
const TASKS = 10_000;
/** Tasks at the boundaries of records and of bytes in records. */
const DONE_TASKS = [0, 7, 8, 8191, 8192, 9999];

function ignoreRecorded(): void {
  // These tests don't check the callback.
}

describe('CompletionRecords', () => {
  it('loads the completions that it has recorded, across the boundaries of records', () => {
    const records = immediateRecords();
    const recorded: number[] = [];
    const recordedJob = acceptedJob({ id: ID, tasks: TASKS });
    const completions = new CompletionRecords(records, (_job, task) => recorded.push(task));
    for (const task of DONE_TASKS) {
      recordedJob.done[task] = 1;
      completions.add(recordedJob, task);
    }
    completions.flush();
    assert.deepEqual(recorded, DONE_TASKS);
    assert.deepEqual(
      [...records.list('p/')].map(({ key }) => key),
      ['p/req-1/0', 'p/req-1/1'],
    );
    const loadedJob = acceptedJob({ id: ID, tasks: TASKS });
    new CompletionRecords(records, ignoreRecorded).load(new Map([[ID, loadedJob]]));
    assert.deepEqual(
      [...loadedJob.done.entries()].filter(([, flag]) => flag === 1).map(([task]) => task),
      DONE_TASKS,
    );
    assert.equal(loadedJob.doneRecordedCount, DONE_TASKS.length);
  });

  it('removes the records of a job that has ended', () => {
    const records = immediateRecords();
    const completions = new CompletionRecords(records, ignoreRecorded);
    const endedJob = acceptedJob({ id: ID, tasks: TASKS });
    for (const task of DONE_TASKS) completions.add(endedJob, task);
    completions.flush();
    completions.remove(endedJob);
    assert.deepEqual([...records.list('p/')], []);
  });

  it('removes the records of jobs that are not active when it loads them', () => {
    const records = immediateRecords({ 'p/req-0/0': 'AQ==' });
    new CompletionRecords(records, ignoreRecorded).load(new Map());
    assert.ok(!records.has('p/req-0/0'));
  });

  it('does not write completions that were discarded', () => {
    const records = immediateRecords();
    const completions = new CompletionRecords(records, ignoreRecorded);
    const job = acceptedJob({ id: ID });
    completions.add(job, 0);
    completions.discard(job);
    completions.flush();
    assert.deepEqual([...records.list('p/')], []);
  });
});
