import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  fleetFixture,
  plainType,
  settings,
  type FleetFixture,
} from '../../../test/fleet-fixture.js';
import { UnusedMachines, type WorkloadState } from './unused-machines.js';

const unresponsiveLimitMs = settings.workerLeaseExpiryMs * settings.get('fleet.silent.ratio');
const idleLimitMs = settings.workerLeaseMs * settings.get('fleet.idle.ratio');
const bootMs = plainType.bootS * 1000;
const steadyWorkload: WorkloadState = {
  noWork: false,
  scaleOutRefused: false,
  arrivalsStopped: false,
};

describe('UnusedMachines', () => {
  let workers: FleetFixture['workers'];
  let booting: FleetFixture['booting'];
  let unused: UnusedMachines;
  beforeEach(() => {
    const fixture = fleetFixture();
    ({ workers, booting } = fixture);
    unused = new UnusedMachines(fixture.eventLoop, settings, {
      ...{ workers, booting, placement: { shortages: [] } },
      scaleIn: { isReleasing: () => false },
    });
  });

  const bootingMachine = { type: plainType, zone: 'a', spot: false, requestedAt: -Infinity };

  it('finds machines that failed, did not boot in time or are unresponsive', () => {
    workers.add('failed').cloudState = 'failed';
    workers.add('unresponsive');
    workers.unresponsive.set('unresponsive', unresponsiveLimitMs + 1);
    workers.add('up');
    booting.set('late', { ...bootingMachine, knownSince: 0, listedAsRunning: false });
    assert.deepEqual(unused.find(0, steadyWorkload), ['late', 'failed', 'unresponsive']);
    assert.equal(booting.size, 0);
  });

  // A new leader reads the cloud's list before all workers have found the leader. It must not release machines
  // that are running but have not sent it a heartbeat yet.
  it('gives a machine time to find this leader if the cloud lists it as running', () => {
    booting.set('partitioned', { ...bootingMachine, knownSince: 0, listedAsRunning: true });
    assert.deepEqual(unused.find(unresponsiveLimitMs, steadyWorkload), []);
    assert.deepEqual(unused.find(unresponsiveLimitMs + 1, steadyWorkload), ['partitioned']);
  });

  it('removes an unresponsive machine that the cloud no longer lists', () => {
    workers.add('gone').cloudState = 'absent';
    workers.unresponsive.set('gone', unresponsiveLimitMs + 1);
    assert.deepEqual(unused.find(unresponsiveLimitMs * 2, steadyWorkload), []);
    assert.equal(workers.machines.size, 1);
    assert.deepEqual(unused.find(unresponsiveLimitMs * 2 + 1, steadyWorkload), []);
    assert.equal(workers.machines.size, 0);
  });

  it('keeps one idle machine of each type and market unless there is no work', () => {
    for (const id of ['n-1', 'n-2', 'n-3']) workers.add(id);
    assert.deepEqual(unused.find(idleLimitMs, steadyWorkload), []);
    assert.deepEqual(unused.find(idleLimitMs + 1, steadyWorkload), ['n-1', 'n-2']);
    const idsWithoutWork = unused.find(idleLimitMs + 1, { ...steadyWorkload, noWork: true });
    assert.ok(idsWithoutWork.includes('n-3'));
  });

  // Idle machines cost as much as busy ones, so they are not kept for jobs that no longer arrive.
  it('keeps idle machines no longer than a boot takes once arrivals have stopped', () => {
    for (const id of ['n-1', 'n-2', 'n-3']) workers.add(id);
    const stoppedWorkload = { ...steadyWorkload, arrivalsStopped: true };
    assert.deepEqual(unused.find(bootMs, stoppedWorkload), []);
    assert.deepEqual(unused.find(bootMs + 1, steadyWorkload), []);
    assert.deepEqual(unused.find(bootMs + 1, stoppedWorkload), ['n-1', 'n-2']);
  });
});
