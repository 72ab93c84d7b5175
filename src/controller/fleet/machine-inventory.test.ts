import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { fleetFixture, listLagMs, plainType, settings } from '../../../test/fleet-fixture.js';
import type { ListedMachine } from '../wire/cloud.js';
import { MachineInventory } from './machine-inventory.js';

describe('MachineInventory', () => {
  function readList(
    entries: Partial<ListedMachine>[],
    knownIds: string[],
    releasingIds: string[] = [],
  ) {
    const { runtime, eventLoop, workers, booting } = fleetFixture();
    for (const id of knownIds) workers.add(id);
    const releasedIds: string[] = [];
    const machines = entries.map((entry): ListedMachine => ({
      ...{ id: 'n-1', addr: 'x:1', type: 'plain', zone: 'a', spot: false, ageS: 2 },
      ...{ state: 'running', ...entry },
    }));
    const inventory = new MachineInventory(eventLoop, settings, {
      ...{ workers, booting, types: () => [plainType], mayActAsLeader: () => true },
      cloud: {
        listMachines: (done) => done({ kind: 'listed', machines }),
        listIntervalMs: () => 0,
      },
      scaleIn: {
        isReleasing: (id) => releasingIds.includes(id),
        release: (ids) => void releasedIds.push(...ids),
      },
    });
    inventory.step(0);
    return { runtime, inventory, workers, booting, released: releasedIds };
  }

  it('updates known machines, releases unknown failed ones and adds other unknown ones as booting', () => {
    const { inventory, workers, booting, released } = readList(
      [{ id: 'n-1' }, { id: 'n-2', state: 'failed' }, { id: 'n-3' }, { id: 'n-4' }],
      ['n-1'],
      ['n-4'],
    );
    assert.ok(inventory.synced);
    assert.equal(workers.machines.get('n-1')?.addr, 'x:1');
    assert.deepEqual(released, ['n-2']);
    const expected = {
      ...{ type: plainType, zone: 'a', spot: false },
      ...{ listedAsRunning: true, requestedAt: -2000, knownSince: 0 },
    };
    assert.deepEqual([...booting], [['n-3', expected]]);
  });

  it('marks a machine as absent only after it has been missing from the list for long', () => {
    const { runtime, inventory, workers } = readList([], ['n-1']);
    const machine = workers.machines.get('n-1');
    assert.equal(machine?.cloudState, 'running');
    runtime.advance(listLagMs * 4 + settings.heartbeatIntervalMs + 1);
    inventory.step(runtime.now());
    assert.equal(machine.cloudState, 'absent');
  });
});
