import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { FrontendFixture } from '../../../test/frontend-fixture.js';
import { activeKey, terminalKey } from './job-records.js';

const ID = 'req-1';

describe('a cancellation', () => {
  let fixture: FrontendFixture;

  beforeEach(() => {
    fixture = new FrontendFixture();
    fixture.cancel(ID);
  });

  /** Answers the read of the job's active record with this version. */
  function answerRead(version: number): void {
    const { method, path } = fixture.runtime.answer(200, {
      ...{ k: activeKey(ID), value: {}, stamp: version, permit: null },
    });
    assert.deepEqual([method, path], ['GET', `/keys/${activeKey(ID)}`]);
  }

  /** Answers the transaction with a conflict: the active record has another version. */
  function answerConflict(): void {
    fixture.runtime.answer(409, { ledger: 9, failed: [activeKey(ID)] });
  }

  it('replaces the active record only if it still has the version that was read', () => {
    answerRead(5);
    const { body } = fixture.runtime.answer(200, { ledger: 6 });
    assert.deepEqual((body as { if: unknown }).if, [
      { k: activeKey(ID), stamp: 5 },
      { k: terminalKey(ID), stamp: 0 },
    ]);
    assert.deepEqual(fixture.responses, [{ status: 200, body: { id: ID, status: 'aborted' } }]);
  });

  it('reads the version again after a conflict', () => {
    answerRead(5);
    answerConflict();
    answerRead(8);
    fixture.runtime.answer(200, { ledger: 9 });
    assert.equal(fixture.responses[0]?.status, 200);
  });

  it('gets 503 after three conflicts', () => {
    for (const version of [5, 6, 7]) {
      answerRead(version);
      answerConflict();
    }
    assert.equal(fixture.responses[0]?.status, 503);
    assert.equal(fixture.runtime.calls.length, 0);
  });

  it('gets 503 when the version cannot be read', () => {
    fixture.runtime.answer(503);
    assert.equal(fixture.responses[0]?.status, 503);
  });
});
