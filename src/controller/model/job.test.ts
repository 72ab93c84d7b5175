import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { acceptedJob } from '../../../test/fakes.js';
import { standalonePlatform } from '../../../test/platform.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { TaskState } from '../wire/workers.js';
import { Machine, planAssignment, type Job } from './entities.js';

const machine = new Machine('n-1', 0, new Settings(standalonePlatform(), defaultProperties()));

/** Assigns the task, which has this state. */
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

    it('gives tasks that start one by one the same attempt', () => {
      const job = acceptedJob({ tasks: 3 });
      assert.deepEqual(
        [0, 1, 2].map((task) => job.attemptFor(task, nextAttempt)),
        [1, 1, 1],
      );
    });

    it('gives a task that starts again another attempt, which later ones have too', () => {
      const job = acceptedJob({ tasks: 3 });
      assert.deepEqual(
        [0, 0, 1, 0].map((task) => job.attemptFor(task, nextAttempt)),
        [1, 2, 2, 3],
      );
    });
  });

  describe('status', () => {
    it('is queued while no task runs, running from then on, and terminal in the end', () => {
      const job = acceptedJob();
      assert.equal(job.status().state, 'queued');
      assign(job, 0, 'fetching');
      assert.equal(job.status().state, 'queued');
      assign(job, 1, 'saving');
      assert.deepEqual([job.status().state, job.status().running], ['running', 1]);
      job.terminalState = 'cancelled';
      assert.equal(job.status().state, 'cancelled');
    });

    it('says why the job is blocked only if that is known', () => {
      const job = acceptedJob();
      assert.ok(!('blocked' in job.status()));
      job.blockedReason = 'no room';
      assert.equal(job.status().blocked, 'no room');
    });
  });

  it('lacks the replicas of a service that do not run, and none of other kinds', () => {
    const missing = (['service', 'array'] as const).map((kind) => {
      const job = acceptedJob({ kind, tasks: 3 });
      assign(job, 0, 'running');
      return job.missingReplicas;
    });
    assert.deepEqual(missing, [2, 0]);
  });

  it('avoids a machine until the time is over', () => {
    const job = acceptedJob({ kind: 'service' });
    job.avoidedMachines.set('n-1', { replicaExits: 1, until: 100 });
    const avoided = [job.avoids('n-1', 99), job.avoids('n-1', 100), job.avoids('n-2', 99)];
    assert.deepEqual(avoided, [true, false, false]);
  });
});
