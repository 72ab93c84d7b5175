import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { WireError } from './fields.js';
import { readJobSpec, writeJobSpec, writeJobStatus } from './jobs.js';

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

describe('readJobSpec', () => {
  it('reads a submission so that writeJobSpec restores it unchanged', () => {
    assert.deepEqual(writeJobSpec(readJobSpec(submission)), submission);
  });

  for (const shape of ['batch', 'gang', 'standing'])
    it(`reads the job kind "${shape}" so that writeJobSpec restores it`, () =>
      assert.equal(writeJobSpec(readJobSpec({ ...submission, shape }))['shape'], shape));

  it('reads absent optional fields as null and ignores unknown fields', () => {
    const absentFields = { hall: undefined, due_s: undefined, models: undefined };
    const spec = readJobSpec({ ...submission, ...absentFields, unknown_field: 1 });
    assert.equal(spec.zone, null);
    assert.equal(spec.types, null);
    assert.equal(spec.deadlineS, null);
  });

  const invalidFields: [string, unknown][] = [
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
  it('throws a WireError for a field of the wrong type or out of range', () => {
    for (const [name, value] of invalidFields)
      assert.throws(
        () => readJobSpec({ ...submission, [name]: value }),
        WireError,
        `${name}=${String(value)}`,
      );
  });

  const requiredFields = [
    ...['id', 'shift', 'crew', 'shape', 'urgency', 'duties', 'cores', 'cards', 'mem_gb', 'recipe'],
    ...['pull_gb', 'same_place', 'scatter', 'loaners', 'expect_s', 'bookmark_s', 'stow_s'],
  ];
  for (const name of requiredFields)
    it(`throws a WireError when ${name} is absent`, () =>
      assert.throws(() => readJobSpec({ ...submission, [name]: undefined }), WireError));

  it('throws a WireError for a body that is not a map', () => {
    for (const body of [null, [], 'text', 5]) assert.throws(() => readJobSpec(body), WireError);
  });
});

describe('writeJobStatus', () => {
  it('writes the state names of the protocol', () => {
    assert.deepEqual(writeJobStatus({ id: 'req-1', state: 'cancelled' }), {
      id: 'req-1',
      status: 'aborted',
    });
  });
});
