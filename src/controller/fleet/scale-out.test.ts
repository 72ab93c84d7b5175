import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { arraySpec } from '../../../test/fakes.js';
import { fleetFixture, machineType, settings } from '../../../test/fleet-fixture.js';
import { CloudClient } from './cloud-client.js';
import { ScaleOut } from './scale-out.js';

describe('ScaleOut', () => {
  it('retries an unconfirmed launch under the same name and backs off when no machine is launched', () => {
    const { runtime, eventLoop, workers, booting } = fleetFixture();
    const scaleOut = new ScaleOut(eventLoop, settings, {
      ...{ workers, booting, mayActAsLeader: () => true },
      cloud: new CloudClient(eventLoop, settings),
      placement: { shortages: [] },
    });
    const types = [{ ...machineType('plain', 0, 1), zones: ['a'] }];
    scaleOut.observeJob(arraySpec({ cpus: 4, spot: false }), 0);
    scaleOut.step(0, types, true);
    assert.ok(scaleOut.hasOpenRequests);
    const firstCall = runtime.answer(0);
    const retryCall = runtime.answer(200, { kilns: [] });
    assert.deepEqual(retryCall.body, firstCall.body);
    assert.equal((firstCall.body as { hire: string }).hire, 't7-1');
    assert.ok(!scaleOut.hasOpenRequests);
    assert.ok(scaleOut.capacityRefused(0));
    scaleOut.step(0, types, true);
    assert.equal(runtime.calls.length, 0);
  });
});
