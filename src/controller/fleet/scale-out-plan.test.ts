import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';
import { Machine } from '../workers/machine.js';
import { standalonePlatform } from '../../../test/platform.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { Headroom } from './headroom.js';
import { ScaleOutBackoff } from './scale-out-backoff.js';
import { cheapestOffer, planScaleOut, type InstanceOffer } from './scale-out-plan.js';

function machineType(name: string, gpus: number, price: number): MachineType {
  return {
    ...{ name, gpus, price, spotPrice: price / 2, cpus: 8, memoryGb: 64 },
    ...{ cacheGb: 50, fetchGbPerS: 1, bootS: 10, zones: ['a', 'b'] },
  };
}

const plain = machineType('plain', 0, 1);
const withGpus = machineType('gpu', 4, 2);

function spec(part: Partial<JobSpec>): JobSpec {
  return {
    ...{ id: 'req-1', class: 'c', team: 't', kind: 'array', priority: 'normal', tasks: 2 },
    ...{ cpus: 4, gpus: 0, memoryGb: 1, image: 'i', imageGb: 1, types: null, zone: null },
    ...{
      singleZone: false,
      spread: false,
      spot: true,
      estimatedRunS: 10,
      checkpointIntervalS: 0,
      checkpointSaveS: 0,
    },
    deadlineS: null,
    ...part,
  };
}

function offers(...types: MachineType[]): InstanceOffer[] {
  return types.flatMap((type) =>
    type.zones.flatMap((zone) =>
      [true, false].map((spot) => ({ kind: { type, zone, spot }, machinesInZone: 0 })),
    ),
  );
}

describe('rental plan', () => {
  it('takes the cheapest kind that the tasks may use', () => {
    const all = offers(plain, withGpus);
    assert.deepEqual(cheapestOffer({ spec: spec({}), tasks: 2 }, all)?.kind, {
      ...{ type: plain, zone: 'a', spot: true },
    });
    const ordinary = cheapestOffer({ spec: spec({ spot: false }), tasks: 2 }, all);
    assert.equal(ordinary?.kind.spot, false);
    const gpu = cheapestOffer({ spec: spec({ gpus: 1 }), tasks: 2 }, all);
    assert.equal(gpu?.kind.type.name, 'gpu');
    assert.equal(cheapestOffer({ spec: spec({ gpus: 5 }), tasks: 2 }, all), null);
  });

  it('takes the zone with fewer machines for work that spreads', () => {
    const all = offers(plain).map((offer) => ({
      ...offer,
      machinesInZone: offer.kind.zone === 'a' ? 5 : 1,
    }));
    assert.equal(cheapestOffer({ spec: spec({ spread: true }), tasks: 2 }, all)?.kind.zone, 'b');
  });

  it('rents only what the booting machines do not hold', () => {
    const kind = { type: plain, zone: 'a', spot: true };
    const demand = { spec: spec({}), tasks: 4 };
    assert.deepEqual(planScaleOut([demand], [kind, kind], offers(plain)), []);
    const orders = planScaleOut([demand], [kind], offers(plain));
    assert.deepEqual(
      orders.map((order) => order.count),
      [1],
    );
  });

  it('makes at most four orders of fifty machines', () => {
    const orders = planScaleOut([{ spec: spec({ zone: 'a' }), tasks: 1000 }], [], offers(plain));
    assert.deepEqual(
      orders.map((order) => order.count),
      [50, 50, 50, 50],
    );
  });
});

describe('rental backoff', () => {
  const kind = { type: plain, zone: 'a', spot: true };

  it('doubles the pause of a refused kind up to eight times the first', () => {
    const backoff = new ScaleOutBackoff(100);
    let now = 0;
    for (const pauseMs of [100, 200, 400, 800, 800]) {
      assert.ok(backoff.allows(kind, now));
      backoff.recordShortage(kind, now, false);
      assert.ok(!backoff.allows(kind, now + pauseMs - 1));
      assert.ok(backoff.anyPaused(now + pauseMs - 1));
      now += pauseMs;
    }
    assert.ok(!backoff.anyPaused(now));
  });

  it('begins anew when the cloud had some or all', () => {
    const backoff = new ScaleOutBackoff(100);
    backoff.recordShortage(kind, 0, false);
    backoff.recordShortage(kind, 0, false);
    backoff.recordShortage(kind, 0, true);
    assert.ok(backoff.allows(kind, 100));
    backoff.recordShortage(kind, 0, false);
    backoff.recordSuccess(kind);
    assert.ok(backoff.allows(kind, 0));
  });
});

describe('headroom', () => {
  const settings = new Settings(standalonePlatform(), defaultProperties());

  function freeMachine(): Machine {
    const machine = new Machine('n-1', 0, settings);
    machine.type = plain;
    machine.zone = 'a';
    return machine;
  }

  it('asks for what does not fit, for a while after the last job', () => {
    const headroom = new Headroom({ ratio: 0.5, retentionMs: 1000 });
    headroom.observeClass(spec({}), 0);
    const running = new Map([['c', 10]]);
    assert.deepEqual(
      headroom.demand(1000, [freeMachine()], running).map((demand) => demand.tasks),
      [3],
    );
    assert.deepEqual(headroom.demand(1001, [freeMachine()], running), []);
    assert.deepEqual(headroom.demand(1000, [], running), []);
  });

  it('asks for nothing where the machines have room', () => {
    const headroom = new Headroom({ ratio: 0.5, retentionMs: 1000 });
    headroom.observeClass(spec({}), 0);
    assert.deepEqual(headroom.demand(0, [freeMachine()], new Map()), []);
  });
});
