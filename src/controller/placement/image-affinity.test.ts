import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { batchCluster } from '../../../test/placement-cluster.js';

describe('a job array without its image on the free machine', () => {
  // Fleet days: every array task took the next free place anywhere, and a third of all GPUs waited
  // for images that the next machine had.
  it('leaves the machine to one that has its image there, if it has time', () => {
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
    // Nobody else wants the next one: nothing stands idle for the image.
    assert.ok(cluster.complete('req-x'));
    cluster.run(4);
    assert.equal(cluster.taskCount('req-first'), 1);
  });

  it('takes its turn by rank, if its time is short', () => {
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
