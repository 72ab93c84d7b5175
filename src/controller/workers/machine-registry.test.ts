import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { FakeClock } from '../../../test/fakes.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { MachineRegistry } from './machine-registry.js';
import { makeFencingToken } from './fencing-token.js';
import { FencingTokenSync } from './fencing-token-sync.js';

const TERM = 50;
const settings = new Settings(standalonePlatform(), defaultProperties());
const clock = new FakeClock(1000);

function newRegistry(): MachineRegistry {
  return new MachineRegistry(clock, settings, new FencingTokenSync(clock, TERM), () => undefined);
}

describe('the registry of machines', () => {
  it('makes a machine known once, and expects the token of the term', () => {
    const registry = newRegistry();
    const machine = registry.getOrCreate('n-1');
    assert.equal(machine.firstSeenAt, 1000);
    assert.equal(machine.expectedToken, makeFencingToken(TERM, 0));
    assert.equal(registry.getOrCreate('n-1'), machine);
  });

  it('keeps the address where none is told', () => {
    const registry = newRegistry();
    const machine = registry.getOrCreate('n-1');
    registry.updateDescription(machine, { type: 'g', zone: 'a', spot: true, addr: '10.1.0.1:9' });
    registry.setDescription(machine, { type: 'g', zone: 'b', spot: true, addr: '' });
    assert.equal(machine.addr, '10.1.0.1:9');
    assert.equal(machine.zone, 'b');
  });

  // They were forgotten by number: a copy of an old report could bring one back in a large fleet.
  it('remembers the machines that are gone for minutes, however many they are', () => {
    const time = new FakeClock(1000);
    const registry = new MachineRegistry(
      time,
      settings,
      new FencingTokenSync(time, TERM),
      () => undefined,
    );
    for (let i = 1; i <= 30_000; i++) registry.remove(registry.getOrCreate(`n-${i}`));
    assert.equal(registry.machines.size, 0);
    assert.ok(registry.wasRemoved('n-1'));
    time.time += settings.workerLeaseMs * 59;
    registry.remove(registry.getOrCreate('n-30001'));
    assert.ok(registry.wasRemoved('n-1'));
    time.time += settings.workerLeaseMs * 2;
    registry.remove(registry.getOrCreate('n-30002'));
    assert.ok(!registry.wasRemoved('n-1'), 'forgotten in the end');
    assert.ok(registry.wasRemoved('n-30001'));
  });
});
