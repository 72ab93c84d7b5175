import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { Liveness } from './liveness.js';
import { Machine } from '../model/entities.js';
import { FakeClock } from '../../../test/fakes.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const INTERVAL_MS = 100;

function setUp(...ids: string[]): { clock: FakeClock; machines: Machine[]; liveness: Liveness } {
  const clock = new FakeClock(0);
  const machines = ids.map((id) => new Machine(id, 0, settings));
  const byId = new Map(machines.map((machine) => [machine.id, machine]));
  return { clock, machines, liveness: new Liveness(clock, settings, byId) };
}

/** Lets time pass as it does for a node that is not held up. */
function pass(clock: FakeClock, liveness: Liveness, ms: number, mayAnswer = true): void {
  for (let passed = 0; passed < ms; passed += INTERVAL_MS) {
    clock.time += INTERVAL_MS;
    liveness.setAnswering(mayAnswer, INTERVAL_MS);
  }
}

describe('liveness', () => {
  it('counts silence only while reports would have been answered', () => {
    const { clock, machines, liveness } = setUp('n-1');
    const [machine] = machines;
    assert.ok(machine);
    pass(clock, liveness, 2000);
    assert.equal(liveness.unresponsiveMs(machine), 2000);
    assert.equal(liveness.unacknowledgedMs(machine), 2000);
    pass(clock, liveness, 1000, false);
    assert.equal(liveness.unresponsiveMs(machine), 0);
    assert.equal(liveness.unacknowledgedMs(machine), 0);
  });

  it('takes a standstill of its own for time without answers', () => {
    const { clock, machines, liveness } = setUp('n-1');
    const [machine] = machines;
    assert.ok(machine);
    clock.time += INTERVAL_MS * 4;
    liveness.setAnswering(true, INTERVAL_MS);
    assert.equal(liveness.unresponsiveMs(machine), 0);
  });

  it('takes machines for alive that report lately in a session that is not over', () => {
    const { clock, machines, liveness } = setUp('n-1');
    const [machine] = machines;
    assert.ok(machine);
    assert.ok(!liveness.isAlive(machine), 'not heard yet');
    machine.lastHeartbeatAt = 0;
    assert.ok(liveness.isAlive(machine));
    machine.lowestValidAgentEpoch = 1;
    assert.ok(!liveness.isAlive(machine));
    machine.agentEpoch = 1;
    clock.time = settings.workerLeaseMs * settings.get('workers.silent.ratio');
    assert.ok(!liveness.isAlive(machine));
  });

  it('gives the share of overdue machines among those that may report', () => {
    const { clock, machines, liveness } = setUp('n-1', 'n-2', 'n-3');
    const [reporting, never, failed] = machines;
    assert.ok(reporting && never && failed);
    failed.cloudState = 'failed';
    pass(clock, liveness, settings.heartbeatIntervalMs * 4);
    reporting.lastHeartbeatAt = clock.time;
    assert.equal(liveness.overdueShare(0, false), 0.5);
    assert.equal(liveness.overdueShare(0, true), 0);
    assert.equal(liveness.overdueShare(settings.heartbeatIntervalMs * 4, false), 0);
  });
});
