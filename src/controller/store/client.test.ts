import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { platformOf, defaultPlatformOptions } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { StateStoreClient } from './client.js';
import type { ReadResult, RenewalOutcome, TransactionResult } from './results.js';

describe('StateStoreClient', () => {
  let runtime: ManualRuntime;
  let client: StateStoreClient;

  function createClient(leaseS: number, cancelS: number): StateStoreClient {
    const platform = platformOf(['kiln-0'], 'kiln-0', {
      ...defaultPlatformOptions,
      leaseS,
      cancelDeadlineS: cancelS,
    });
    const settings = new Settings(platform, defaultProperties());
    return new StateStoreClient(new EventLoop(runtime, silentLogger), settings);
  }

  beforeEach(() => {
    runtime = new ManualRuntime();
    client = createClient(defaultPlatformOptions.leaseS, defaultPlatformOptions.cancelDeadlineS);
  });

  describe('watch', () => {
    /** Returns how long after the end of its hold time a watch without a response times out. */
    function graceMs(leaseS: number, cancelS: number): number {
      const holdMs = 1000;
      createClient(leaseS, cancelS).watch('lead', 1, holdMs, () => undefined);
      return (runtime.calls.shift()?.call.timeoutMs ?? NaN) - holdMs;
    }

    it('times out one grace period after its hold time: 2 s for a worker lease of 22 s, less for a shorter lease', () => {
      assert.equal(Math.round(graceMs(22, 50) / 10) * 10, 2000);
      assert.ok(graceMs(10, 35) < 1000);
    });

    it('reports too-old if the store has dropped changes', () => {
      let kind: string | undefined;
      client.watch('live/', 1, 1000, (result) => (kind = result.kind));
      runtime.answer(410);
      assert.equal(kind, 'too-old');
    });
  });

  const transactionResults: [string, number, unknown, TransactionResult][] = [
    ['a revision', 200, { ledger: 7 }, { kind: 'ok', revision: 7 }],
    ['failed conditions', 409, { failed: ['k'] }, { kind: 'conflict', failedKeys: ['k'] }],
    ['an expired lease', 400, { error: 'no such lease' }, { kind: 'lease-expired' }],
    ['any other rejection', 400, { error: 'too large' }, { kind: 'too-large' }],
    ['an exceeded rate', 429, null, { kind: 'refused' }],
    ['an unavailable store', 503, null, { kind: 'refused' }],
    ['a missing response', 0, null, { kind: 'unknown' }],
    ['a malformed response', 200, { ledger: 'seven' }, { kind: 'unknown' }],
  ];
  for (const [response, status, body, expected] of transactionResults)
    it(`transact reports ${response} as ${expected.kind}`, () => {
      let result: TransactionResult | undefined;
      client.transact([], [], 1000, (outcome) => (result = outcome));
      runtime.answer(status, body);
      assert.deepEqual(result, expected);
    });

  it('transact halves the largest value size after a transaction was rejected', () => {
    const { limits } = client.budget;
    const sizeBefore = limits.maxValueSize;
    client.transact([], [], 1000, () => undefined);
    runtime.answer(400, { error: 'too large' });
    assert.equal(limits.maxValueSize, sizeBefore / 2);
  });

  const readResults: [string, number, unknown, ReadResult<unknown>][] = [
    [
      'a value',
      200,
      { k: 'lead', value: 1, stamp: 3 },
      { kind: 'ok', value: { key: 'lead', value: 1, version: 3 } },
    ],
    ['a missing key', 404, null, { kind: 'ok', value: null }],
    ['a malformed response', 200, { k: 'lead' }, { kind: 'failed' }],
    ['a missing response', 0, null, { kind: 'failed' }],
  ];
  for (const [response, status, body, expected] of readResults)
    it(`read reports ${response} as ${expected.kind}`, () => {
      let result: ReadResult<unknown> | undefined;
      client.read('lead', 1000, (outcome) => (result = outcome));
      assert.equal(runtime.answer(status, body).path, '/keys/lead');
      assert.deepEqual(result, expected);
    });

  it('readPrefix continues after the last key, and returns the revision of the first response', () => {
    let result: ReadResult<{ items: { key: string }[]; revision: number }> | undefined;
    client.readPrefix('page/', 1000, (outcome) => (result = outcome));
    const entry = (k: string) => ({ k, value: 0, stamp: 1 });
    const firstResponse = { entries: [entry('page/0')], has_next: true, ledger: 5 };
    assert.equal(runtime.answer(200, firstResponse).path, '/keys?starts=page/&limit=1000');
    const secondResponse = { entries: [entry('page/1')], has_next: false, ledger: 9 };
    assert.equal(
      runtime.answer(200, secondResponse).path,
      '/keys?starts=page/&from=page/0&limit=1000',
    );
    assert.ok(result?.kind === 'ok');
    assert.deepEqual(
      result.value.items.map(({ key }) => key),
      ['page/0', 'page/1'],
    );
    assert.equal(result.value.revision, 5);
  });

  const renewals: [number, RenewalOutcome][] = [
    [200, 'ok'],
    [404, 'expired'],
    [503, 'failed'],
    [0, 'failed'],
  ];
  for (const [status, expected] of renewals)
    it(`renewLease reports status ${status} as ${expected}`, () => {
      let outcome: RenewalOutcome | undefined;
      client.renewLease(4, 1000, (renewal) => (outcome = renewal));
      assert.equal(runtime.answer(status).path, '/holds/4/extend');
      assert.equal(outcome, expected);
    });

  describe('health', () => {
    function read(status: number): void {
      client.read('lead', 1000, () => undefined);
      runtime.answer(status);
    }

    it('reports the store as unavailable from the second consecutive failure until the next success', () => {
      const { health } = client;
      read(0);
      assert.equal(health.isUnavailable, false);
      read(503);
      assert.equal(health.isUnavailable, true);
      assert.equal(health.consecutiveFailures, 2);
      runtime.advance(10);
      read(404);
      assert.equal(health.isUnavailable, false);
      assert.equal(health.consecutiveFailures, 0);
      runtime.advance(30);
      assert.equal(health.sinceSuccessMs, 30);
    });

    it('measures a stall from the oldest call without a response, and ignores watches', () => {
      client.watch('live/', 1, 1000, () => undefined);
      runtime.advance(100);
      assert.equal(client.health.stalledMs, 0);
      client.read('lead', 1000, () => undefined);
      runtime.advance(40);
      assert.equal(client.health.stalledMs, 40);
    });

    it('does not count a response with status 429 as a failure, and pauses requests and writes after it', () => {
      read(429);
      const { requestTokens, writeTokens } = client.budget;
      assert.ok(requestTokens.waitMs() > 0);
      assert.ok(writeTokens.waitMs() > 0);
      assert.equal(client.health.consecutiveFailures, 0);
    });
  });
});
