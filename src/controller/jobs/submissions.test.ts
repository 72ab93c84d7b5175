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

/** The status of the response to a submission, where the named jobs are active. */
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
    ['can run', arraySubmission, 201],
    ['lacks a field', lackingField, 400],
    ['has a field of a wrong type', { ...arraySubmission, loaners: String(loaners) }, 400],
    ['asks for more than its team may have', { ...arraySubmission, cores: 9 }, 422],
    ['is a service within its limit', { ...service, duties: 8 }, 201],
    ['is a service beyond its limit', { ...service, duties: 9 }, 422],
    ['is an array without an estimate', { ...arraySubmission, expect_s: 0 }, 400],
    ['is larger than a value may be', { ...arraySubmission, models: ['g', ...manyModels] }, 400],
    ['fits no machine', { ...arraySubmission, hall: 'b' }, 422],
  ];
  for (const [condition, body, status] of cases) {
    it(`that ${condition} gets ${status}`, () => assert.equal(statusOfSubmission(body), status));
    // Accepted by another version, or before the settings changed: it stays known.
    it(`that ${condition} gets 200 if its job is known`, () =>
      assert.equal(statusOfSubmission(body, [ID]), 200));
  }

  // The job may have been accepted, and cancelled, through another node in between.
  it('that is retried does not share the response of a transaction sent before', () => {
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

describe('a submission of a service', () => {
  const refusalCases: [rule: string, part: object, status: number][] = [
    ['a gang names an estimate', { shape: 'gang' }, 400],
    ['an array names an estimate', { shape: 'batch' }, 400],
    ['the estimate is no negative number', { expect_s: -1 }, 400],
    ['all replicas together are within the limit on CPUs', { cores: 2.1 }, 422],
    ['all replicas together are within the limit on GPUs', { duties: 5, cores: 1 }, 422],
    ['a replica fits a machine', { duties: 1, mem_gb: 65 }, 422],
    ['the team is known', { crew: 'nobody' }, 422],
    ['replicas to spread find two zones', { scatter: true }, 422],
  ];
  for (const [rule, overrides, status] of refusalCases)
    it(`gets ${status} unless ${rule}`, () =>
      assert.equal(statusOfSubmission({ ...serviceSubmission, ...overrides }), status));
});
