import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { FakeClock } from '../../../test/fakes.js';
import { settings, TERM, TOKEN } from '../../../test/workers-fixture.js';
import { FencingTokenSync } from './fencing-token-sync.js';
import { MachineRegistry } from './machine-registry.js';

describe('MachineRegistry', () => {
  let clock: FakeClock;
  let registry: MachineRegistry;

  beforeEach(() => {
    clock = new FakeClock(1000);
    const fencingTokens = new FencingTokenSync(clock, TERM);
    registry = new MachineRegistry(clock, settings, fencingTokens, () => undefined);
  });

  it('creates a machine once, and expects the first fencing token of the term', () => {
    const machine = registry.getOrCreate('n-1');
    assert.equal(machine.firstSeenAt, 1000);
    assert.equal(machine.expectedToken, TOKEN);
    assert.equal(registry.getOrCreate('n-1'), machine);
  });

  it('keeps the known address if the new description has none', () => {
    const machine = registry.getOrCreate('n-1');
    const description = { type: 'g', zone: 'a', spot: true, addr: '10.1.0.1:9' };
    registry.updateDescription(machine, description);
    registry.setDescription(machine, { ...description, zone: 'b', addr: '' });
    assert.equal(machine.addr, '10.1.0.1:9');
    assert.equal(machine.zone, 'b');
  });

  // Guards against dropping ids because there are too many: in a large fleet, a late copy of an old
  // heartbeat could then register a removed machine again.
  it('keeps the ids of removed machines for minutes, regardless of their number', () => {
    for (let i = 1; i <= 30_000; i++) registry.remove(registry.getOrCreate(`n-${i}`));
    assert.equal(registry.machines.size, 0);
    assert.ok(registry.wasRemoved('n-1'));
    clock.time += settings.workerLeaseMs * 59;
    registry.remove(registry.getOrCreate('n-30001'));
    assert.ok(registry.wasRemoved('n-1'));
    clock.time += settings.workerLeaseMs * 2;
    registry.remove(registry.getOrCreate('n-30002'));
    assert.ok(!registry.wasRemoved('n-1'), 'dropped after the retention time');
    assert.ok(registry.wasRemoved('n-30001'));
  });
});
