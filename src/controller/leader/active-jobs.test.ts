import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { acceptedJob } from '../../../test/fakes.js';
import type { TerminalState } from '../wire/jobs.js';
import { ActiveJobs } from './active-jobs.js';

/** Creates a table that contains jobs of the given ids and records the calls of its methods. */
function setUp(ids: string[], terminal: Record<string, TerminalState> = {}) {
  const calls: string[] = [];
  const table = {
    jobs: new Map(ids.map((id) => [id, acceptedJob({ id })])),
    add: (id: string, _value: unknown, version: number) => void calls.push(`add ${id} ${version}`),
    handleRecordRemoved: (id: string) => void calls.push(`removed ${id}`),
  };
  const frontend = { terminalState: (id: string) => terminal[id] ?? null };
  return { calls, activeJobs: new ActiveJobs(frontend, table) };
}

function record(id: string, version: number) {
  return { key: `live/${id}`, value: {}, version };
}

describe('ActiveJobs', () => {
  it('adds the jobs of the records, except jobs that are known to have ended', () => {
    const { calls, activeJobs } = setUp([], { 'req-2': 'cancelled' });
    activeJobs.add([record('req-1', 4), record('req-2', 5)]);
    assert.deepEqual(calls, ['add req-1 4']);
  });

  it('adds the jobs of all records in `replaceAll`, and then removes the jobs without a record', () => {
    const { calls, activeJobs } = setUp(['req-1', 'req-3']);
    activeJobs.replaceAll([record('req-1', 4), record('req-2', 6)]);
    assert.deepEqual(calls, ['add req-1 4', 'add req-2 6', 'removed req-3']);
  });

  it('applies changes in the given order', () => {
    const { calls, activeJobs } = setUp(['req-1']);
    activeJobs.apply([
      { kind: 'delete', key: 'live/req-1' },
      { kind: 'put', ...record('req-2', 7) },
    ]);
    assert.deepEqual(calls, ['removed req-1', 'add req-2 7']);
  });
});
