import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { gpuJob } from '../../../test/placement-fixtures.js';
import { batchCluster } from '../../../test/placement-cluster.js';
import { Guarantees } from './guarantees.js';

describe("placement of a job covered by its team's guarantee", () => {
  it('starts all tasks although other teams have borrowed the capacity', () => {
    const anyOwnerJob = fc.record({
      kind: fc.constantFrom('array', 'gang'),
      tasks: fc.integer({ min: 1, max: 4 }),
      priority: fc.constantFrom('low', 'normal', 'high'),
    });
    const anyGuestJob = fc.record({
      kind: fc.constantFrom('array', 'gang'),
      tasks: fc.integer({ min: 1, max: 8 }),
      gpus: fc.constantFrom(1, 2),
      priority: fc.constantFrom('normal', 'high', 'critical'),
    });
    fc.assert(
      fc.property(
        fc.array(anyGuestJob, { minLength: 1, maxLength: 4 }),
        anyOwnerJob,
        (guestJobs, ownerJob) => {
          const cluster = batchCluster();
          cluster.run(3);
          for (const guestJob of guestJobs)
            cluster.add({
              ...guestJob,
              priority: guestJob.priority === 'critical' ? 'production' : guestJob.priority,
            });
          cluster.run(20);
          const id = `req-${cluster.table.jobs.size}`;
          cluster.add({ ...ownerJob, id, team: 'owner' });
          cluster.run(30);
          assert.equal(cluster.taskCount(id), ownerJob.tasks);
        },
      ),
      { seed: 6, numRuns: 60 },
    );
  });
});

describe('Guarantees', () => {
  const team = { name: 'red', guaranteedCpus: 0, guaranteedGpus: 4, maxCpus: 0, maxGpus: 6 };

  it('marks jobs covered by the guarantee of their team in order of submission', () => {
    const first = gpuJob({ gpus: 3, tasks: 1 }, 0);
    const second = gpuJob({ gpus: 2, tasks: 1 }, 1);
    const third = gpuJob({ gpus: 1, tasks: 1 }, 2);
    new Guarantees([team]).mark([third, second, first]);
    assert.ok(first.guaranteed);
    assert.ok(!second.guaranteed);
    assert.ok(!third.guaranteed, 'the earlier jobs use up the guarantee');
  });
});
