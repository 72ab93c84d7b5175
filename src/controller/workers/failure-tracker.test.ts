import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { acceptedJob, FakeClock } from '../../../test/fakes.js';
import { newMachine, settings } from '../../../test/workers-fixture.js';
import type { Machine } from '../model/entities.js';
import { FailureTracker } from './failure-tracker.js';

const NOW = 1000;

describe('FailureTracker', () => {
  const failureTracker = new FailureTracker(new FakeClock(NOW), settings);
  let machine: Machine;

  beforeEach(() => {
    machine = newMachine();
  });

  it('quarantines a machine on which enough different jobs have failed', () => {
    const threshold = settings.get('fleet.strikes');
    for (let i = 1; i < threshold; i++)
      failureTracker.recordFailure(machine, acceptedJob({ id: `req-${i}` }), 'error');
    assert.equal(machine.unschedulableUntil, 0);
    failureTracker.recordFailure(machine, acceptedJob({ id: 'req-last' }), 'error');
    assert.equal(machine.unschedulableUntil, NOW + 2 * settings.workerLeaseMs);
    assert.equal(machine.failedJobs.size, 0);
  });

  it('resets the failure counts of a machine when a task is completed on it', () => {
    failureTracker.recordFailure(machine, acceptedJob(), 'error');
    machine.consecutiveQuarantines = 1;
    failureTracker.recordSuccess(machine);
    assert.equal(machine.failedJobs.size, 0);
    assert.equal(machine.consecutiveQuarantines, 0);
  });

  it('doubles the backoff of a failing job with each failure, up to two leases', () => {
    const job = acceptedJob();
    failureTracker.recordFailure(machine, job, 'error');
    assert.equal(job.backoffUntil, NOW + settings.heartbeatIntervalMs * 2);
    failureTracker.recordFailure(machine, job, 'error');
    assert.equal(job.backoffUntil, NOW + settings.heartbeatIntervalMs * 4);
    for (let i = 0; i < 10; i++) failureTracker.recordFailure(machine, job, 'error');
    assert.ok(job.backoffUntil <= NOW + settings.workerLeaseMs * 2);
  });

  it('pauses the machine, not the job, for one heartbeat interval after a no_room exit', () => {
    const job = acceptedJob();
    failureTracker.recordFailure(machine, job, 'no_room');
    assert.equal(machine.unschedulableUntil, NOW + settings.heartbeatIntervalMs);
    assert.equal(job.backoffUntil, 0);
  });

  it('makes a service avoid a machine on which its replicas exited, longer after each exit', () => {
    const service = acceptedJob({ kind: 'service' });
    failureTracker.recordFailure(machine, service, 'done');
    failureTracker.recordFailure(machine, service, 'other');
    const until = NOW + settings.heartbeatIntervalMs * 4;
    assert.deepEqual(service.avoidedMachines.get('n-1'), { replicaExits: 2, until });
    assert.equal(service.backoffUntil, 0);
  });
});
