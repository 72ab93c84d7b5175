import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { decodeBody, encodeBody, WireError } from './cbor.js';
import { readCatalogue, readMachinePage } from './cloud.js';
import { readJobSpec, writeJobStatus, writeJobSpec } from './jobs.js';
import { readHeartbeat, parseTaskName, writeHeartbeatResponse } from './workers.js';

const submission = {
  id: 'req-000412',
  shift: 'train',
  crew: 'vision',
  shape: 'gang',
  urgency: 'high',
  duties: 16,
  cores: 8,
  cards: 1,
  mem_gb: 64,
  recipe: 'img-07',
  pull_gb: 6.2,
  models: ['g8'],
  hall: null,
  same_place: true,
  scatter: false,
  loaners: true,
  expect_s: 240,
  bookmark_s: 30,
  stow_s: 4,
  due_s: 900,
};

describe('wire', () => {
  it('reads a submission and writes it back unchanged', () => {
    assert.deepEqual(writeJobSpec(readJobSpec(submission)), submission);
    for (const shape of ['batch', 'gang', 'standing'])
      assert.equal(writeJobSpec(readJobSpec({ ...submission, shape }))['shape'], shape);
    const short = { ...submission, hall: undefined, due_s: undefined, models: undefined };
    const spec = readJobSpec({ ...short, unknown_field: 1 });
    assert.equal(spec.zone, null);
    assert.equal(spec.types, null);
    assert.equal(spec.deadlineS, null);
  });

  it('refuses fields that are missing, of a wrong type or out of range', () => {
    const bad: [string, unknown][] = [
      ['id', 'job-1'],
      ['id', 'req-1/2'],
      ['id', 7],
      ['duties', 0],
      ['duties', 100_001],
      ['duties', 1.5],
      ['cores', -1],
      ['cores', Number.NaN],
      ['cores', Number.POSITIVE_INFINITY],
      ['mem_gb', '64'],
      ['shape', 'service'],
      ['shape', 'constructor'],
      ['urgency', 'urgent'],
      ['models', 'g8'],
      ['models', [1]],
      ['models', Array.from({ length: 5000 }, () => 'g8')],
      ['hall', 'x'.repeat(300)],
      ['same_place', 'yes'],
      ['expect_s', null],
      ['expect_s', 0],
      ['bookmark_s', null],
      ['stow_s', -1],
      ['loaners', null],
      ['scatter', 0],
      ['due_s', 'soon'],
      ['crew', ''],
    ];
    for (const [name, value] of bad)
      assert.throws(
        () => readJobSpec({ ...submission, [name]: value }),
        WireError,
        `${name}=${String(value)}`,
      );
    for (const name of [
      'id',
      'shift',
      'crew',
      'shape',
      'urgency',
      'duties',
      'cores',
      'cards',
      'mem_gb',
      'recipe',
      'pull_gb',
      'same_place',
      'scatter',
      'loaners',
      'expect_s',
      'bookmark_s',
      'stow_s',
    ])
      assert.throws(() => readJobSpec({ ...submission, [name]: undefined }), WireError, name);
    for (const body of [null, [], 'text', 5]) assert.throws(() => readJobSpec(body), WireError);
  });

  it('takes one whole CBOR item and nothing else', () => {
    assert.throws(() => decodeBody(Buffer.concat([encodeBody({}), Buffer.from([0])])));
    assert.throws(() => decodeBody(Buffer.from([0xa1])));
    assert.throws(() => decodeBody(Buffer.from('f97e00', 'hex')), 'NaN');
    assert.throws(() => decodeBody(Buffer.alloc(0)));
  });

  it('keeps integers up to 2^64', () => {
    const big = 2n ** 64n - 1n;
    const report = readHeartbeat({
      ...{ kiln: 'n-1', address: '10.0.0.1:1', model: 'g8', hall: 'a', loaners: false },
      ...{ tenure: 1, tally: big, baton: 41, recall_s: null, duties: [] },
    });
    assert.equal(report.sequence, big);
    assert.deepEqual(decodeBody(encodeBody({ x: big })), { x: big });
  });

  it('names tasks, orders and answers as the protocol does', () => {
    assert.deepEqual(parseTaskName('req-000412/3'), { job: 'req-000412', task: 3 });
    for (const bad of ['req-1', 'req-1/', 'req-1/x', '/3', 'req-1/1000000'])
      assert.throws(() => parseTaskName(bad), WireError);
    assert.deepEqual(
      writeHeartbeatResponse(41, [{ op: 'stop', name: 'req-1/2', attempt: 3, graceS: 4 }]),
      {
        baton: 41,
        orders: [{ verb: 'stop', duty: 'req-1/2', try: 3, leeway_s: 4 }],
      },
    );
    assert.deepEqual(writeJobStatus({ id: 'req-1', state: 'cancelled' }), {
      id: 'req-1',
      status: 'aborted',
    });
  });

  it('answers any input with a value or a WireError', () => {
    fc.assert(
      fc.property(
        fc.object({ maxDepth: 3 }),
        fc.constantFrom(...Object.keys(submission)),
        (any, key) => {
          for (const read of [readJobSpec, readHeartbeat, readCatalogue, readMachinePage])
            for (const body of [any, { ...submission, [key]: any }]) {
              try {
                read(body);
              } catch (err) {
                assert.ok(err instanceof WireError, String(err));
              }
            }
        },
      ),
      { seed: 3, numRuns: 300 },
    );
  });
});
