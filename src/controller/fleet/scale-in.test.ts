import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { fleetFixture, listLagMs, settings } from '../../../test/fleet-fixture.js';
import { CloudClient } from './cloud-client.js';
import { ScaleIn } from './scale-in.js';

describe('ScaleIn', () => {
  it('retries a release until the cloud confirms it and remembers the machine while it may be listed', () => {
    const { runtime, eventLoop, workers } = fleetFixture();
    const machine = workers.add('n-1');
    const cloud = new CloudClient(eventLoop, settings);
    const scaleIn = new ScaleIn(eventLoop, settings, {
      workers,
      cloud,
      mayActAsLeader: () => true,
    });
    scaleIn.release(['n-1'], 'test');
    assert.ok(machine.releasing);
    runtime.answer(500);
    assert.equal(workers.machines.size, 1);
    runtime.advance(1000);
    runtime.answer(200);
    assert.equal(workers.machines.size, 0);
    runtime.advance(listLagMs);
    assert.ok(scaleIn.isReleasing('n-1'));
    runtime.advance(listLagMs * 3 + 5000);
    assert.ok(!scaleIn.isReleasing('n-1'));
  });

  it('releases in batches of a hundred machines, and only while the node may act as leader', () => {
    const { runtime, eventLoop, workers } = fleetFixture();
    let mayAct = false;
    const scaleIn = new ScaleIn(eventLoop, settings, {
      workers,
      cloud: new CloudClient(eventLoop, settings),
      mayActAsLeader: () => mayAct,
    });
    scaleIn.release(
      Array.from({ length: 150 }, (_, index) => `n-${index}`),
      'test',
    );
    assert.equal(runtime.calls.length, 0);
    mayAct = true;
    runtime.advance(1000);
    assert.deepEqual(
      runtime.calls.map(({ call }) => (call.body as { kilns: string[] }).kilns.length),
      [100, 50],
    );
  });
});
