import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { acceptedJob } from '../../../test/fakes.js';
import { standalonePlatform } from '../../../test/platform.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { TaskState } from '../wire/workers.js';
import { Machine, planAssignment, type Job } from './entities.js';

const machine = new Machine('n-1', 0, new Settings(standalonePlatform(), defaultProperties()));

/** Assigns the task to the machine, with the given task state. */
function assign(job: Job, task: number, state: TaskState): void {
  job.currentAssignments.set(task, { ...planAssignment(job, task, 1, machine, 0), state });
}

describe('Job', () => {
  describe('attemptFor', () => {
    let attempt: number;
    const nextAttempt = (): number => ++attempt;

    beforeEach(() => {
      attempt = 0;
    });

    it('returns the same attempt for tasks that are started individually', () => {
      const job = acceptedJob({ tasks: 3 });
      assert.deepEqual(
        [0, 1, 2].map((task) => job.attemptFor(task, nextAttempt)),
        [1, 1, 1],
      );
    });

    it('returns a new attempt when a task starts again, and shares it with later tasks', () => {
      const job = acceptedJob({ tasks: 3 });
      assert.deepEqual(
        [0, 0, 1, 0].map((task) => job.attemptFor(task, nextAttempt)),
        [1, 2, 2, 3],
      );
    });
  });

  describe('status', () => {
    it('is queued until a task runs, then running, and finally the terminal state', () => {
      const job = acceptedJob();
      assert.equal(job.status().state, 'queued');
      assign(job, 0, 'fetching');
      assert.equal(job.status().state, 'queued');
      assign(job, 1, 'saving');
      assert.deepEqual([job.status().state, job.status().running], ['running', 1]);
      job.terminalState = 'cancelled';
      assert.equal(job.status().state, 'cancelled');
    });

    it('contains the reason why the job is blocked only if there is one', () => {
      const job = acceptedJob();
      assert.ok(!('blocked' in job.status()));
      job.blockedReason = 'no room';
      assert.equal(job.status().blocked, 'no room');
    });
  });

  it('reports replicas that are not running as missing, but no tasks of other kinds of job', () => {
    const missing = (['service', 'array'] as const).map((kind) => {
      const job = acceptedJob({ kind, tasks: 3 });
      assign(job, 0, 'running');
      return job.missingReplicas;
    });
    assert.deepEqual(missing, [2, 0]);
  });

  it('avoids a machine until the avoidance expires', () => {
    const job = acceptedJob({ kind: 'service' });
    job.avoidedMachines.set('n-1', { replicaExits: 1, until: 100 });
    const avoided = [job.avoids('n-1', 99), job.avoids('n-1', 100), job.avoids('n-2', 99)];
    assert.deepEqual(avoided, [true, false, false]);
  });
});
