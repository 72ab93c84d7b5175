import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { type Job, Machine } from '../model/entities.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { FailureTracker } from './failure-tracker.js';
import { acceptedJob, FakeClock } from '../../../test/fakes.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const NOW = 1000;

function job(id: string, kind: 'array' | 'service' = 'array'): Job {
  return acceptedJob({ id, kind });
}

describe('failures', () => {
  const clock = new FakeClock(NOW);
  const failures = new FailureTracker(clock, settings);
  const tolerated = settings.get('fleet.strikes');

  it('quarantine a machine that enough different jobs have failed on', () => {
    const machine = new Machine('n-1', 0, settings);
    for (let i = 1; i < tolerated; i++) failures.recordFailure(machine, job(`req-${i}`), 'error');
    assert.equal(machine.unschedulableUntil, 0);
    failures.recordFailure(machine, job('req-last'), 'error');
    assert.equal(machine.unschedulableUntil, NOW + 2 * settings.workerLeaseMs);
    assert.equal(machine.failedJobs.size, 0);
  });

  it('are forgotten when a task runs to its end', () => {
    const machine = new Machine('n-1', 0, settings);
    failures.recordFailure(machine, job('req-1'), 'error');
    machine.consecutiveQuarantines = 1;
    failures.recordSuccess(machine);
    assert.equal(machine.failedJobs.size, 0);
    assert.equal(machine.consecutiveQuarantines, 0);
  });

  it('delay a job longer each time, up to two leases', () => {
    const machine = new Machine('n-1', 0, settings);
    const failing = job('req-1');
    failures.recordFailure(machine, failing, 'error');
    assert.equal(failing.backoffUntil, NOW + settings.heartbeatIntervalMs * 2);
    failures.recordFailure(machine, failing, 'error');
    assert.equal(failing.backoffUntil, NOW + settings.heartbeatIntervalMs * 4);
    for (let i = 0; i < 10; i++) failures.recordFailure(machine, failing, 'error');
    assert.ok(failing.backoffUntil <= NOW + settings.workerLeaseMs * 2);
  });

  it('tell a full machine from a failing job', () => {
    const machine = new Machine('n-1', 0, settings);
    const placed = job('req-1');
    failures.recordFailure(machine, placed, 'no_room');
    assert.equal(machine.unschedulableUntil, NOW + settings.heartbeatIntervalMs);
    assert.equal(placed.backoffUntil, 0);
  });

  it('leave the machine out for the service whose replica ended', () => {
    const machine = new Machine('n-1', 0, settings);
    const service = job('req-1', 'service');
    failures.recordFailure(machine, service, 'done');
    failures.recordFailure(machine, service, 'other');
    const until = NOW + settings.heartbeatIntervalMs * 4;
    assert.deepEqual(service.avoidedMachines.get('n-1'), { times: 2, until });
    assert.equal(service.backoffUntil, 0);
  });
});
