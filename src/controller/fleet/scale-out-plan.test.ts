import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { arraySpec } from '../../../test/fakes.js';
import { machineType, plainType } from '../../../test/fleet-fixture.js';
import type { JobSpec } from '../wire/jobs.js';
import type { MachineType } from '../wire/cloud.js';
import {
  cheapestOffer,
  planScaleOut,
  type CapacityDemand,
  type InstanceOffer,
} from './scale-out-plan.js';

const gpuType = machineType('gpu', 4, 2);

/** Demand for tasks with 4 CPUs that may use spot machines. */
function demand(tasks: number, overrides: Partial<JobSpec> = {}): CapacityDemand {
  return { spec: arraySpec({ cpus: 4, ...overrides }), tasks };
}

/** Offers of every kind of machine of the given types, in zones without machines. */
function offers(...types: MachineType[]): InstanceOffer[] {
  return types.flatMap((type) =>
    type.zones.flatMap((zone) =>
      [true, false].map((spot) => ({ kind: { type, zone, spot }, machinesInZone: 0 })),
    ),
  );
}

describe('cheapestOffer', () => {
  it('chooses the cheapest kind of machine that the tasks may use', () => {
    const allOffers = offers(plainType, gpuType);
    assert.deepEqual(cheapestOffer(demand(2), allOffers)?.kind, {
      ...{ type: plainType, zone: 'a', spot: true },
    });
    assert.equal(cheapestOffer(demand(2, { spot: false }), allOffers)?.kind.spot, false);
    assert.equal(cheapestOffer(demand(2, { gpus: 1 }), allOffers)?.kind.type.name, 'gpu');
    assert.equal(cheapestOffer(demand(2, { gpus: 5 }), allOffers), null);
  });

  it('chooses the zone with fewer machines for a job that asks to be spread over zones', () => {
    const allOffers = offers(plainType).map((offer) => ({
      ...offer,
      machinesInZone: offer.kind.zone === 'a' ? 5 : 1,
    }));
    assert.equal(cheapestOffer(demand(2, { spread: true }), allOffers)?.kind.zone, 'b');
  });
});

describe('planScaleOut', () => {
  const launchCounts = (demands: CapacityDemand[], bootingMachines: number): number[] => {
    const kind = { type: plainType, zone: 'a', spot: true };
    const booting = Array.from({ length: bootingMachines }, () => kind);
    return planScaleOut(demands, booting, offers(plainType)).map(({ count }) => count);
  };

  it('launches machines only for tasks that do not fit on the booting ones', () => {
    assert.deepEqual(launchCounts([demand(4)], 2), []);
    assert.deepEqual(launchCounts([demand(4)], 1), [1]);
  });

  it('plans at most four launches of fifty machines each', () => {
    assert.deepEqual(launchCounts([demand(1000, { zone: 'a' })], 0), [50, 50, 50, 50]);
  });
});
