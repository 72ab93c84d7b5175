import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { batchCluster } from '../../../test/placement-cluster.js';

describe('placement of a job array whose image is not on the free machine', () => {
  // Guards against array tasks that start on the first free machine regardless of images: in benchmark
  // scenarios with hundreds of machines, a third of all GPUs then waited for images that another machine had.
  it('lets a job whose image is on the machine go first if the start deadline of the array is far away', () => {
    const cluster = batchCluster();
    cluster.run(3);
    const array = { deadlineS: 50_000, estimatedRunS: 500 };
    cluster.add({ ...array, id: 'req-x', image: 'x', tasks: 4 });
    cluster.add({ ...array, id: 'req-y', image: 'y', tasks: 4 });
    cluster.run(3);
    cluster.add({ ...array, id: 'req-first', image: 'y' });
    cluster.step();
    cluster.add({ ...array, id: 'req-second', image: 'x' });
    assert.ok(cluster.complete('req-x'));
    cluster.run(4);
    assert.deepEqual([cluster.taskCount('req-first'), cluster.taskCount('req-second')], [0, 1]);
    // No other job waits for the next freed machine, so req-first starts on it and fetches its image.
    assert.ok(cluster.complete('req-x'));
    cluster.run(4);
    assert.equal(cluster.taskCount('req-first'), 1);
  });

  it('uses the machine in order of rank if the start deadline of the array is close', () => {
    const cluster = batchCluster();
    cluster.run(3);
    const array = { deadlineS: 50_000, estimatedRunS: 500 };
    cluster.add({ ...array, id: 'req-x', image: 'x', tasks: 4 });
    cluster.add({ ...array, id: 'req-y', image: 'y', tasks: 4 });
    cluster.run(3);
    cluster.add({ ...array, id: 'req-first', image: 'y', deadlineS: 700 });
    cluster.step();
    cluster.add({ ...array, id: 'req-second', image: 'x' });
    cluster.run(30);
    assert.ok(cluster.complete('req-x'));
    cluster.run(4);
    assert.deepEqual([cluster.taskCount('req-first'), cluster.taskCount('req-second')], [1, 0]);
  });
});
