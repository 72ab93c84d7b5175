import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { WireError } from './fields.js';
import { parseTaskName, readHeartbeat, writeHeartbeatResponse } from './workers.js';

describe('readHeartbeat', () => {
  it('reads integers up to 2^64 - 1 without loss', () => {
    const maxUint64 = 2n ** 64n - 1n;
    const heartbeat = readHeartbeat({
      ...{ kiln: 'n-1', address: '10.0.0.1:1', model: 'g8', hall: 'a', loaners: false },
      ...{ tenure: 1, tally: maxUint64, baton: 41, recall_s: null, duties: [] },
    });
    assert.equal(heartbeat.sequence, maxUint64);
  });
});

describe('parseTaskName', () => {
  it('splits a task name into job id and task number', () => {
    assert.deepEqual(parseTaskName('req-000412/3'), { job: 'req-000412', task: 3 });
  });

  for (const name of ['req-1', 'req-1/', 'req-1/x', '/3', 'req-1/1000000'])
    it(`throws a WireError for "${name}"`, () =>
      assert.throws(() => parseTaskName(name), WireError));
});

describe('writeHeartbeatResponse', () => {
  it('writes the command names of the protocol', () => {
    const stop = { op: 'stop', name: 'req-1/2', attempt: 3, graceS: 4 } as const;
    assert.deepEqual(writeHeartbeatResponse(41, [stop]), {
      baton: 41,
      orders: [{ verb: 'stop', duty: 'req-1/2', try: 3, leeway_s: 4 }],
    });
  });
});
