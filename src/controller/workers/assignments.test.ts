import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { acceptedJob, FakeClock } from '../../../test/fakes.js';
import { type Job, type Assignment, Machine } from '../model/entities.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { Assignments } from './assignments.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const ATTEMPT = 9;

/** Assignments whose collaborators write down what they are told. */
class Bench {
  readonly told: string[] = [];
  readonly machine = new Machine('n-1', 0, settings);
  readonly assignments: Assignments;
  teamTasks = 0;

  constructor(readonly job: Job) {
    const jobs = new Map([[job.spec.id, job]]);
    this.assignments = new Assignments(
      new FakeClock(1000),
      {
        jobs,
        markDone: (_, task) => this.told.push(`done ${task}`),
        requeue: (_, task) => this.told.push(`put back ${task}`),
        countExit: (_, cause) => this.told.push(`exit ${cause}`),
      },
      { add: (_team, _need, count) => (this.teamTasks += count) },
      {
        recordFailure: (_machine, _job, outcome) => this.told.push(`failure ${outcome}`),
        recordSuccess: () => this.told.push('success'),
      },
      {
        placementInputChanged: () => undefined,
        taskCompleted: (_, tookMs) => this.told.push(`ran ${tookMs}`),
        recordDue: () => undefined,
        commandDue: ({ id }) => this.told.push(`command ${id}`),
      },
    );
  }

  /** Assigns the task, as if its record were stored and its start sent. */
  start(task: number): Assignment {
    this.assignments.assign(this.job, task, ATTEMPT, this.machine);
    const assignment = this.job.currentAssignments.get(task);
    assert.ok(assignment);
    assignment.phase = 'sent';
    return assignment;
  }
}

describe('assignments', () => {
  it('count from their record on until they are gone', () => {
    const bench = new Bench(acceptedJob());
    const assignment = bench.start(0);
    assert.equal(bench.assignments.count, 1);
    assert.equal(bench.assignments.countByClass.get('c'), 1);
    assert.equal(bench.teamTasks, 1);
    assert.ok(bench.machine.isBusy);
    bench.assignments.end(assignment, 'error');
    bench.assignments.end(assignment, 'error');
    assert.equal(bench.assignments.count, 0);
    assert.equal(bench.assignments.countByClass.size, 0);
    assert.equal(bench.teamTasks, 0);
    assert.equal(bench.machine.idleSince, 1000);
    assert.deepEqual(bench.told, ['exit error', 'failure error', 'put back 0']);
  });

  it('end at once when stopped before they were sent, without an exit', () => {
    const bench = new Bench(acceptedJob());
    const assignment = bench.start(0);
    assignment.phase = 'recorded';
    bench.assignments.stop(assignment, 5, 'preempted');
    assert.equal(assignment.phase, 'ended');
    assert.deepEqual(bench.told, ['failure unsent', 'put back 0']);
  });

  it('are told of a stop again only when it is to be sooner', () => {
    const bench = new Bench(acceptedJob());
    const assignment = bench.start(0);
    bench.assignments.stop(assignment, 5, 'preempted');
    bench.assignments.stop(assignment, 5, 'preempted');
    assert.deepEqual(bench.told, ['command n-1']);
    bench.assignments.stop(assignment, 0, 'cancelled');
    assert.equal(bench.told.length, 2);
    assert.equal(assignment.stop?.graceS, 0);
  });

  it('stay after completion until that is on record', () => {
    const bench = new Bench(acceptedJob());
    const assignment = bench.start(0);
    assignment.runningAt = 400;
    bench.assignments.end(assignment, 'done');
    assert.deepEqual(bench.told, ['ran 600', 'success', 'done 0']);
    assert.equal(bench.machine.assignments.size, 1);
    bench.assignments.completionRecorded(bench.job, 0);
    assert.equal(bench.machine.assignments.size, 0);
  });

  it('of a gang are put back together, after the last of them is gone', () => {
    const bench = new Bench(acceptedJob({ kind: 'gang' }));
    const first = bench.start(0);
    const second = bench.start(1);
    bench.assignments.end(first, 'lost');
    assert.equal(second.stop?.reason, 'gang lost a member');
    assert.ok(!bench.told.some((text) => text.startsWith('put back')));
    bench.assignments.end(second, 'stopped');
    assert.deepEqual(bench.told.slice(-2), ['put back 1', 'put back 0']);
  });

  it('restored twice for a task belong to the job by the later attempt', () => {
    const bench = new Bench(acceptedJob());
    const request = { cpus: 1, gpus: 0, memoryGb: 1 };
    const recorded = {
      jobId: 'req-1',
      team: 't',
      request,
      checkpointSaveS: 0,
      task: 0,
      assignedAtWallClock: 0,
    };
    bench.assignments.restore(new Machine('n-2', 0, settings), { ...recorded, attempt: 7 }, 0);
    bench.assignments.restore(bench.machine, { ...recorded, attempt: 6 }, 0);
    assert.equal(bench.job.currentAssignments.get(0)?.attempt, 7);
    assert.equal(bench.assignments.count, 2);
  });
});
