import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { STEP_MS, serviceCluster, identicalWorkers } from '../../../test/placement-cluster.js';

describe('preemption that involves services', () => {
  it('never preempts a replica, not even of a low-priority service', () => {
    const cluster = serviceCluster(identicalWorkers(2));
    const service = cluster.add({ tasks: 2, cpus: 6, priority: 'low', team: 'guest' });
    cluster.run(20);
    assert.equal(service.runningCount, 2);
    const gang = cluster.add({
      kind: 'gang',
      tasks: 2,
      cpus: 6,
      estimatedRunS: 10,
      team: 'owner',
      gpus: 1,
    });
    const array = cluster.add({ kind: 'array', tasks: 2, cpus: 6, estimatedRunS: 10 });
    cluster.run(40);
    assert.equal(service.runningCount, 2);
    assert.equal(gang.runningCount + array.runningCount, 0);
  });

  it('preempts a task of lower priority for a replica that fits on no machine', () => {
    const cluster = serviceCluster(identicalWorkers(1));
    const array = cluster.add({
      kind: 'array',
      tasks: 1,
      cpus: 8,
      estimatedRunS: 900,
      priority: 'low',
    });
    cluster.run(20);
    assert.equal(array.runningCount, 1);
    const service = cluster.add({ tasks: 1 });
    cluster.run(8);
    assert.equal(service.runningCount, 1);
  });

  it('preempts no task on a machine where a replica of the service has just failed', () => {
    const cluster = serviceCluster([{ images: ['i'] }]);
    const service = cluster.add({ tasks: 1 });
    cluster.run(3);
    const array = cluster.add({
      kind: 'array',
      tasks: 1,
      cpus: 7,
      estimatedRunS: 900,
      priority: 'low',
    });
    cluster.run(20);
    assert.equal(array.runningCount, 1);
    cluster.exit(service, 'error', 'n-0');
    const filler = cluster.add({
      kind: 'array',
      tasks: 1,
      cpus: 1,
      estimatedRunS: 900,
      priority: 'low',
    });
    cluster.step();
    cluster.step();
    assert.equal(filler.runningCount + filler.currentAssignments.size > 0, true);
    while ((service.avoidedMachines.get('n-0')?.until ?? 0) > cluster.now + STEP_MS) {
      assert.equal(array.preemptionCount + filler.preemptionCount, 0);
      cluster.step();
    }
    cluster.run(20);
    assert.equal(service.runningCount, 1, 'the service runs on the machine again after the pause');
  });
});
