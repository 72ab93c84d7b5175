import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  STEP_MS,
  serviceCluster,
  serviceSettings,
  workersAlike,
  type PlacementCluster,
} from '../../../test/placement-cluster.js';
import type { Job } from '../model/entities.js';

describe('a cancelled service', () => {
  const assertCancelled = (cluster: PlacementCluster, job: Job): void => {
    cluster.table.markCancelled(job.spec.id);
    cluster.run(3);
    assert.equal(cluster.tasksByMachine(job).size, 0);
    assert.equal(cluster.workers.assignedCount, 0);
    assert.equal(job.allAssignments.size, 0);
    assert.equal(job.status().state, 'cancelled');
  };

  it('ends where it was waiting for capacity', () => {
    const cluster = serviceCluster([]);
    const job = cluster.add({ tasks: 2 });
    cluster.run(2);
    assertCancelled(cluster, job);
  });

  it('ends where its image was being fetched', () => {
    const cluster = serviceCluster(workersAlike(2));
    const job = cluster.add({ tasks: 2 });
    cluster.run(2);
    assert.ok(
      cluster.simulated.some(({ tasks }) => tasks.some(({ state }) => state === 'fetching')),
    );
    assertCancelled(cluster, job);
  });

  it('ends where it was running, and nothing of it starts again', () => {
    const cluster = serviceCluster(workersAlike(2));
    const job = cluster.add({ tasks: 2 });
    cluster.run(6);
    assert.equal(job.runningCount, 2);
    assertCancelled(cluster, job);
    cluster.run(10);
    assert.equal(cluster.tasksByMachine(job).size, 0);
  });

  it('ends where a replica was migrating', () => {
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
    { condition: 'once its unresponsive machine is heard again', recovers: true },
    { condition: 'with the worker lease of a machine that stays unresponsive', recovers: false },
  ])
    it(`ends ${condition}`, () => {
      const cluster = serviceCluster(workersAlike(1));
      const job = cluster.add({ tasks: 2 });
      cluster.run(6);
      const worker = cluster.worker('n-0');
      worker.unresponsive = true;
      cluster.run(5);
      cluster.table.markCancelled(job.spec.id);
      cluster.run(2);
      assert.equal(cluster.workers.assignedCount, 2, 'not proven gone');
      if (recovers) worker.unresponsive = false;
      cluster.run(recovers ? 3 : serviceSettings.workerLeaseExpiryMs / STEP_MS);
      assert.equal(cluster.workers.assignedCount, 0);
      worker.unresponsive = false;
      cluster.run(4);
      assert.equal(cluster.tasksByMachine(job).size, 0);
    });
});
