import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { bigMachine, gpuJob, runningAssignment } from '../../../../test/placement-fixtures.js';
import { silentLogger } from '../../../../test/manual-runtime.js';
import { Preemptor } from './preemptor.js';

describe('Preemptor', () => {
  it('preempts all victims or none, and gives the preempting job precedence', () => {
    const stopped: string[] = [];
    const preemptor = new Preemptor(
      { log: silentLogger, now: () => 100 },
      { get: () => 0, workerLeaseMs: 1000 },
      {
        assignedCount: 10,
        stop: ({ name }) => stopped.push(name),
        stopJob: ({ spec }) => stopped.push(spec.id),
      },
      { lostWorkMs: () => 0 },
    );
    const [array, gang, preempting] = [
      gpuJob(),
      gpuJob({ id: 'req-2', kind: 'gang' }),
      gpuJob({ id: 'req-3' }),
    ];
    const victims = [0, 1, 2, 3, 4].map((task) => runningAssignment(array, bigMachine(), task));
    assert.ok(!preemptor.preemptAll(victims, preempting));
    assert.equal(preemptor.count, 0);
    assert.ok(
      preemptor.preemptAll(
        [...victims.slice(0, 2), runningAssignment(gang, bigMachine())],
        preempting,
      ),
    );
    assert.deepEqual(stopped, ['req-1/0', 'req-1/1', 'req-2']);
    assert.deepEqual(
      [preemptor.count, array.preemptionCount, preempting.preemptionClaimUntil],
      [3, 2, 1100],
    );
    assert.ok(!preemptor.preemptAll(victims.slice(2, 4), preempting), 'recent preemptions count');
  });
});
