import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  STEP_MS,
  serviceCluster,
  serviceSettings,
  identicalWorkers,
  type PlacementCluster,
} from '../../../test/placement-cluster.js';
import type { Job } from '../model/entities.js';

describe('cancellation of a service', () => {
  const assertCancelled = (cluster: PlacementCluster, job: Job): void => {
    cluster.table.markCancelled(job.spec.id);
    cluster.run(3);
    assert.equal(cluster.tasksByMachine(job).size, 0);
    assert.equal(cluster.workers.assignedCount, 0);
    assert.equal(job.allAssignments.size, 0);
    assert.equal(job.status().state, 'cancelled');
  };

  it('ends a service that waits for capacity', () => {
    const cluster = serviceCluster([]);
    const job = cluster.add({ tasks: 2 });
    cluster.run(2);
    assertCancelled(cluster, job);
  });

  it('ends a service whose image is being fetched', () => {
    const cluster = serviceCluster(identicalWorkers(2));
    const job = cluster.add({ tasks: 2 });
    cluster.run(2);
    assert.ok(
      cluster.simulatedWorkers.some(({ tasks }) => tasks.some(({ state }) => state === 'fetching')),
    );
    assertCancelled(cluster, job);
  });

  it('ends a running service, and none of its replicas starts again', () => {
    const cluster = serviceCluster(identicalWorkers(2));
    const job = cluster.add({ tasks: 2 });
    cluster.run(6);
    assert.equal(job.runningCount, 2);
    assertCancelled(cluster, job);
    cluster.run(10);
    assert.equal(cluster.tasksByMachine(job).size, 0);
  });

  it('ends a service of which a replica is migrating', () => {
    const cluster = serviceCluster([{ spot: true, images: ['i'] }]);
    const job = cluster.add({ tasks: 2 });
    cluster.run(3);
    cluster.addMachineLike('n-0', 'n-1', 'i');
    cluster.run(2);
    cluster.worker('n-0').spotNoticeS = 30;
    cluster.step();
    assert.ok(
      [...job.currentAssignments.values()].some((a) => a.stop !== null) || job.pending.length > 0,
    );
    assertCancelled(cluster, job);
  });

  for (const { condition, recovers } of [
    { condition: 'when its unresponsive machine sends heartbeats again', recovers: true },
    { condition: 'when the worker lease of its unresponsive machine has expired', recovers: false },
  ])
    it(`ends a service ${condition}`, () => {
      const cluster = serviceCluster(identicalWorkers(1));
      const job = cluster.add({ tasks: 2 });
      cluster.run(6);
      const worker = cluster.worker('n-0');
      worker.unresponsive = true;
      cluster.run(5);
      cluster.table.markCancelled(job.spec.id);
      cluster.run(2);
      assert.equal(cluster.workers.assignedCount, 2, 'the replicas are not proven gone yet');
      if (recovers) worker.unresponsive = false;
      cluster.run(recovers ? 3 : serviceSettings.workerLeaseExpiryMs / STEP_MS);
      assert.equal(cluster.workers.assignedCount, 0);
      worker.unresponsive = false;
      cluster.run(4);
      assert.equal(cluster.tasksByMachine(job).size, 0);
    });
});
