import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { FakeClock } from '../../../test/fakes.js';
import { newMachine, settings } from '../../../test/workers-fixture.js';
import type { Machine } from '../model/entities.js';
import { Liveness } from './liveness.js';

const TICK_MS = 100;

describe('Liveness', () => {
  let clock: FakeClock;
  let machine: Machine;
  let otherMachine: Machine;
  let failedMachine: Machine;
  let liveness: Liveness;

  beforeEach(() => {
    clock = new FakeClock(0);
    machine = newMachine('n-1');
    otherMachine = newMachine('n-2');
    failedMachine = newMachine('n-3');
    failedMachine.cloudState = 'failed';
    const machines = [machine, otherMachine, failedMachine];
    liveness = new Liveness(clock, settings, new Map(machines.map((each) => [each.id, each])));
  });

  /** Advances the clock in steps of one tick, as for a controller that is not stalled. */
  function advanceTime(ms: number, mayAnswer = true): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += TICK_MS) {
      clock.time += TICK_MS;
      liveness.setAnswering(mayAnswer, TICK_MS);
    }
  }

  it('counts unresponsive time only while heartbeats would have been answered', () => {
    advanceTime(2000);
    assert.equal(liveness.unresponsiveMs(machine), 2000);
    assert.equal(liveness.unacknowledgedMs(machine), 2000);
    advanceTime(1000, false);
    assert.equal(liveness.unresponsiveMs(machine), 0);
    assert.equal(liveness.unacknowledgedMs(machine), 0);
  });

  it('does not count the time in which the controller itself was stalled', () => {
    clock.time += TICK_MS * 4;
    liveness.setAnswering(true, TICK_MS);
    assert.equal(liveness.unresponsiveMs(machine), 0);
  });

  it('reports a machine as alive after a recent heartbeat, unless its agent epoch has ended', () => {
    assert.ok(!liveness.isAlive(machine), 'no heartbeat yet');
    machine.lastHeartbeatAt = 0;
    assert.ok(liveness.isAlive(machine));
    machine.lowestValidAgentEpoch = 1;
    assert.ok(!liveness.isAlive(machine));
    machine.agentEpoch = 1;
    clock.time = settings.workerLeaseMs * settings.get('workers.silent.ratio');
    assert.ok(!liveness.isAlive(machine));
  });

  it('returns the overdue share of the machines from which heartbeats are expected', () => {
    advanceTime(settings.heartbeatIntervalMs * 4);
    machine.lastHeartbeatAt = clock.time;
    assert.equal(liveness.overdueShare(0, false), 0.5);
    assert.equal(liveness.overdueShare(0, true), 0);
    assert.equal(liveness.overdueShare(settings.heartbeatIntervalMs * 4, false), 0);
  });
});
