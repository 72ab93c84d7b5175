import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  arraySubmission,
  FakeStateStore,
  FrontendFixture,
  FrontendNode,
  serviceSubmission,
} from '../../../test/frontend-fixture.js';
import { activeKey, terminalKey } from './job-records.js';

const ID = arraySubmission.id;

/** Returns the HTTP status of the response to a submission while the given jobs are active. */
function statusOfSubmission(body: unknown, activeIds: readonly string[] = []): number {
  const store = new FakeStateStore();
  for (const id of activeIds) store.put(activeKey(id), {});
  return new FrontendNode(store).submit(body).status;
}

describe('a submission', () => {
  const { loaners, ...lackingField } = arraySubmission;
  const manyModels = Array.from({ length: 60 }, (_, i) => `model-${i}-${'x'.repeat(40)}`);
  const service = { ...serviceSubmission, cores: 1, cards: 0 };
  const cases: [condition: string, body: unknown, status: number][] = [
    ['is valid', arraySubmission, 201],
    ['lacks a field', lackingField, 400],
    ['has a field of a wrong type', { ...arraySubmission, loaners: String(loaners) }, 400],
    ['exceeds the CPU limit of its team', { ...arraySubmission, cores: 9 }, 422],
    ['is a service within the limits of its team', { ...service, duties: 8 }, 201],
    ['is a service beyond the limits of its team', { ...service, duties: 9 }, 422],
    ['is an array without an estimated run time', { ...arraySubmission, expect_s: 0 }, 400],
    [
      'is larger than the maximum value of the state store',
      { ...arraySubmission, models: ['g', ...manyModels] },
      400,
    ],
    ['is restricted to a zone without machine types', { ...arraySubmission, hall: 'b' }, 422],
  ];
  for (const [condition, body, status] of cases) {
    it(`that ${condition} gets ${status}`, () => assert.equal(statusOfSubmission(body), status));
    // The job may have been accepted by another version of the program or under other settings.
    it(`that ${condition} gets 200 if its job is already active`, () =>
      assert.equal(statusOfSubmission(body, [ID]), 200));
  }

  // Another node may have accepted and cancelled the job between the two submissions.
  it('that is repeated does not share the response of a transaction that was already sent', () => {
    const fixture = new FrontendFixture();
    const { runtime, responses } = fixture;
    fixture.submit(arraySubmission);
    fixture.submit(arraySubmission);
    assert.equal(runtime.calls.length, 1);
    runtime.answer(200, { ledger: 5 });
    assert.deepEqual(
      responses.map(({ status }) => status),
      [201],
    );
    runtime.answer(409, { ledger: 9, failed: [terminalKey(ID)] });
    runtime.answer(200, {
      k: terminalKey(ID),
      value: { state: 'cancelled' },
      stamp: 8,
      permit: null,
    });
    assert.deepEqual(responses[1]?.body, { id: ID, status: 'aborted' });
  });
});

describe('a valid submission of a service', () => {
  const refusalCases: [condition: string, overrides: object, status: number][] = [
    ['is a gang without an estimated run time', { shape: 'gang' }, 400],
    ['is an array without an estimated run time', { shape: 'batch' }, 400],
    ['has a negative estimated run time', { expect_s: -1 }, 400],
    ['has replicas that together exceed the CPU limit', { cores: 2.1 }, 422],
    ['has replicas that together exceed the GPU limit', { duties: 5, cores: 1 }, 422],
    ['has a replica too large for every machine type', { duties: 1, mem_gb: 65 }, 422],
    ['names an unknown team', { crew: 'nobody' }, 422],
    ['must be spread but has only one usable zone', { scatter: true }, 422],
  ];
  for (const [condition, overrides, status] of refusalCases)
    it(`gets ${status} if it is changed so that it ${condition}`, () =>
      assert.equal(statusOfSubmission({ ...serviceSubmission, ...overrides }), status));
});
