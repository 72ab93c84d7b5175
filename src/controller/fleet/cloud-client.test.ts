import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { fleetFixture, plainType, settings } from '../../../test/fleet-fixture.js';
import type { ManualRuntime } from '../../../test/manual-runtime.js';
import { CloudClient, type LaunchResult, type ListResult } from './cloud-client.js';

const PAGE_SIZE = 500;

describe('CloudClient', () => {
  let runtime: ManualRuntime;
  let cloud: CloudClient;
  beforeEach(() => {
    const fixture = fleetFixture();
    runtime = fixture.runtime;
    cloud = new CloudClient(fixture.eventLoop, settings);
  });

  /** A page of the machine list with one machine. */
  const page = (id: string, more: boolean) => ({
    kilns: [
      {
        ...{ id, address: 'x:1', model: 'plain', hall: 'a', loaners: false },
        ...{ status: 'running', age_s: 1 },
      },
    ],
    has_next: more,
  });

  function listedIds(result: ListResult | undefined): string[] {
    assert.equal(result?.kind, 'listed');
    return result.machines.map((machine) => machine.id);
  }

  it('reads the machine list page by page', () => {
    const results: ListResult[] = [];
    cloud.listMachines((result) => results.push(result));
    assert.equal(runtime.answer(200, page('n-1', true)).path, '/machines?limit=500');
    assert.equal(runtime.answer(200, page('n-2', false)).path, '/machines?limit=500&from=n-1');
    assert.deepEqual(results.map(listedIds), [['n-1', 'n-2']]);
  });

  for (const [problem, status, body] of [
    ['is refused', 503, undefined],
    ['is malformed', 200, 'malformed'],
  ] as const)
    it(`reports a failed list when a page ${problem}`, () => {
      const results: ListResult[] = [];
      cloud.listMachines((result) => results.push(result));
      runtime.answer(200, page('n-1', true));
      runtime.answer(status, body);
      assert.deepEqual(results, [{ kind: 'failed' }]);
    });

  // A list of several thousand machines needs more tokens than the bucket holds. If reading the list failed at
  // the first page without a token, no machine would ever be launched.
  it('reads a list of any length within the rate limit and leaves calls for launches', () => {
    const pages = 24;
    const results: ListResult[] = [];
    cloud.listMachines((result) => results.push(result));
    let pagesRead = 0;
    for (let ms = 0; results.length === 0 && ms < 60_000; ms += 50) {
      if (runtime.calls.length > 0) {
        pagesRead++;
        const id = `n-${String(pagesRead).padStart(6, '0')}`;
        runtime.answer(200, page(id, pagesRead < pages));
      }
      runtime.advance(50);
    }
    assert.equal(listedIds(results[0]).length, pages);
    const { rps } = settings.platform.cloudLimits;
    assert.ok(cloud.listIntervalMs(pages * PAGE_SIZE) >= (pages / rps) * 1000 * 2);
    assert.ok(cloud.listIntervalMs(100) < 1000);
  });

  it('distinguishes refused launches from those that may have been carried out', () => {
    const results: LaunchResult[] = [];
    const request = { name: 't7-1', kind: { type: plainType, zone: 'a', spot: false }, count: 1 };
    for (const [status, body] of [
      [0],
      [409],
      [200, 'malformed'],
      [200, { kilns: ['n-1'] }],
    ] as const) {
      cloud.launch(request, (result) => results.push(result));
      runtime.answer(status, body);
    }
    assert.deepEqual(results, [
      { kind: 'unconfirmed' },
      { kind: 'refused' },
      { kind: 'refused' },
      { kind: 'launched', machineIds: ['n-1'] },
    ]);
  });

  it('provides no token for a while after the cloud has answered 429', () => {
    cloud.release(['n-1'], () => undefined);
    runtime.answer(429);
    assert.ok(!cloud.acquireReleaseToken());
    runtime.advance(1000);
    assert.ok(cloud.acquireReleaseToken());
  });
});
