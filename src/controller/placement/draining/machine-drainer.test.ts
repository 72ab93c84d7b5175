import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { serviceCluster, serviceSettings } from '../../../../test/placement-cluster.js';

describe('a spot machine with an interruption notice', () => {
  const NOTICE_S = 30;

  it('loses its replica at once if another machine has capacity and caches the image', () => {
    const cluster = serviceCluster([{ spot: true, images: ['i'] }]);
    const job = cluster.add({ tasks: 1 });
    cluster.run(3);
    assert.deepEqual([...cluster.tasksByMachine(job).keys()], ['n-0']);
    cluster.addMachineLike('n-0', 'n-1', 'i');
    cluster.run(2);
    cluster.worker('n-0').spotNoticeS = NOTICE_S;
    cluster.run(5);
    assert.deepEqual([...cluster.tasksByMachine(job).keys()], ['n-1']);
    assert.equal(job.runningCount, 1);
  });

  it('keeps its replica until shortly before the interruption if no other machine has capacity', () => {
    const cluster = serviceCluster([{ spot: true, images: ['i'] }]);
    const job = cluster.add({ tasks: 1 });
    cluster.run(3);
    cluster.worker('n-0').spotNoticeS = NOTICE_S;
    cluster.run(NOTICE_S - 2 * serviceSettings.platform.workers.heartbeatIntervalS);
    assert.equal(cluster.tasksByMachine(job).get('n-0'), 1);
    cluster.run(2 * serviceSettings.platform.workers.heartbeatIntervalS - 1);
    assert.equal(
      cluster.tasksByMachine(job).size,
      0,
      'the replica is stopped before the interruption',
    );
  });

  it('loses only as many replicas as another machine can start without delay', () => {
    const cluster = serviceCluster([{ spot: true, images: ['i'] }]);
    const job = cluster.add({ tasks: 4 });
    cluster.run(3);
    assert.equal(cluster.tasksByMachine(job).get('n-0'), 4);
    const blockingJob = cluster.add({ tasks: 1, cpus: 7, image: 'other' });
    cluster.addMachineLike('n-0', 'n-1', 'i');
    cluster.run(6);
    assert.equal(cluster.tasksByMachine(blockingJob).get('n-1'), 1);
    cluster.worker('n-0').spotNoticeS = NOTICE_S;
    for (let i = 0; i < 8; i++) {
      cluster.step();
      const replicaCount = [...cluster.tasksByMachine(job).values()].reduce((sum, n) => sum + n, 0);
      assert.ok(
        replicaCount >= 3,
        `${replicaCount} of 4 replicas are assigned after ${i} s, expected at least 3`,
      );
    }
    assert.equal(
      cluster.tasksByMachine(job).get('n-1'),
      1,
      'one replica uses the free capacity of n-1',
    );
    assert.equal(cluster.tasksByMachine(job).get('n-0'), 3);
  });
});
