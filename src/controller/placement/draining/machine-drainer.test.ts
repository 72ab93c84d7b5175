import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { serviceCluster, serviceSettings } from '../../../../test/placement-cluster.js';

describe('a spot machine with an interruption notice', () => {
  const NOTICE_S = 30;

  it('gives its replica up at once where another machine has capacity and the image', () => {
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

  it('keeps its replica until shortly before the interruption where no other has capacity', () => {
    const cluster = serviceCluster([{ spot: true, images: ['i'] }]);
    const job = cluster.add({ tasks: 1 });
    cluster.run(3);
    cluster.worker('n-0').spotNoticeS = NOTICE_S;
    cluster.run(NOTICE_S - 2 * serviceSettings.platform.workers.heartbeatIntervalS);
    assert.equal(cluster.tasksByMachine(job).get('n-0'), 1);
    cluster.run(2 * serviceSettings.platform.workers.heartbeatIntervalS - 1);
    assert.equal(cluster.tasksByMachine(job).size, 0, 'stopped in time');
  });

  it('gives up only as many replicas as can start at once elsewhere', () => {
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
      assert.ok(replicaCount >= 3, `${replicaCount} of 4 replicas after ${i} s`);
    }
    assert.equal(cluster.tasksByMachine(job).get('n-1'), 1, 'the place ready is used');
    assert.equal(cluster.tasksByMachine(job).get('n-0'), 3);
  });
});
