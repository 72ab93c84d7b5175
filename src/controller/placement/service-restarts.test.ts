import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  OWNER_GPUS,
  STEP_MS,
  serviceCluster,
  serviceSettings,
  identicalWorkers,
} from '../../../test/placement-cluster.js';

describe('restart of service replicas', () => {
  it('does not complete a service, even if all its replicas repeatedly end as done', () => {
    const cluster = serviceCluster(identicalWorkers(6));
    const job = cluster.add({ tasks: 2 });
    cluster.run(5);
    for (let round = 0; round < 3; round++) {
      for (const id of cluster.tasksByMachine(job).keys()) cluster.exit(job, 'done', id);
      cluster.run(5);
      const status = job.status();
      assert.equal(status.state, 'running');
      assert.equal(status.done, 0);
      assert.equal(job.runningCount, 2);
    }
    assert.ok(!job.isComplete);
  });

  it('tries all other machines before it reuses one on which a replica has ended', () => {
    const cluster = serviceCluster(identicalWorkers(3, { images: ['i'] }));
    const job = cluster.add({ tasks: 1 });
    const other = cluster.add({ tasks: 3 });
    cluster.run(3);
    const triedMachines = new Set<string>();
    for (let i = 0; i < 3; i++) {
      const [id = ''] = cluster.tasksByMachine(job).keys();
      triedMachines.add(id);
      cluster.exit(job, 'error', id);
      cluster.run(2);
    }
    assert.equal(triedMachines.size, 3);
    assert.equal(other.runningCount, 3, 'the replicas of other services keep running');
  });

  it('waits before reusing the only machine, with pauses that grow up to a limit', () => {
    const cluster = serviceCluster(identicalWorkers(1, { images: ['i'] }));
    const job = cluster.add({ tasks: 1 });
    const longestPauseMs = 2 * serviceSettings.workerLeaseMs;
    let previousPauseMs = 0;
    for (let i = 0; i < 6; i++) {
      for (let s = 0; s <= longestPauseMs / STEP_MS && cluster.tasksByMachine(job).size === 0; s++)
        cluster.step();
      cluster.exit(job, 'other', 'n-0');
      cluster.step();
      const pauseMs = (job.avoidedMachines.get('n-0')?.until ?? 0) - cluster.now;
      assert.ok(
        pauseMs > previousPauseMs || pauseMs === longestPauseMs,
        `pause ${pauseMs} ms after ${previousPauseMs} ms`,
      );
      assert.ok(pauseMs <= longestPauseMs);
      previousPauseMs = pauseMs;
    }
    assert.equal(previousPauseMs, longestPauseMs);
  });

  it('waits until the lost replica is proven gone if the team is at its limit', () => {
    const cluster = serviceCluster(identicalWorkers(3));
    const job = cluster.add({ team: 'owner', tasks: OWNER_GPUS, gpus: 1 });
    cluster.run(6);
    assert.equal(job.runningCount, OWNER_GPUS);
    const laterJob = cluster.add({ team: 'owner', tasks: 1, gpus: 1 });
    const [lostMachineId = ''] = cluster.tasksByMachine(job).keys();
    const replicasOnLostMachine = cluster.tasksByMachine(job).get(lostMachineId) ?? 0;
    cluster.worker(lostMachineId).unresponsive = true;
    for (let i = 0; i < serviceSettings.workerLeaseExpiryMs / STEP_MS + 10; i++) {
      cluster.step();
      assert.ok(cluster.workers.assignedCount <= OWNER_GPUS);
    }
    assert.ok(replicasOnLostMachine > 0);
    assert.equal(job.runningCount, OWNER_GPUS);
    assert.equal(laterJob.runningCount, 0);
    cluster.table.markCancelled(job.spec.id);
    cluster.run(8);
    assert.equal(laterJob.runningCount, 1);
  });
});
