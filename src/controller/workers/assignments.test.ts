import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { acceptedJob, FakeClock } from '../../../test/fakes.js';
import { ATTEMPT, newMachine } from '../../../test/workers-fixture.js';
import type { Assignment, Job } from '../model/entities.js';
import { Assignments } from './assignments.js';

/**
 * The assignments of one job on one machine; records calls to collaborators and events in order.
 */
class Fixture {
  readonly events: string[] = [];
  readonly machine = newMachine();
  readonly assignments: Assignments;
  teamTaskCount = 0;

  constructor(readonly job: Job = acceptedJob()) {
    this.assignments = new Assignments(
      new FakeClock(1000),
      {
        jobs: new Map([[job.spec.id, job]]),
        markDone: (_, task) => this.events.push(`done ${task}`),
        requeue: (_, task) => this.events.push(`requeue ${task}`),
        countExit: (_, cause) => this.events.push(`exit ${cause}`),
      },
      { add: (_team, _request, count) => (this.teamTaskCount += count) },
      {
        recordFailure: (_machine, _job, outcome) => this.events.push(`failure ${outcome}`),
        recordSuccess: () => this.events.push('success'),
      },
      {
        placementInputChanged: () => undefined,
        taskCompleted: (_, runMs) => this.events.push(`completed in ${runMs}`),
        recordDue: () => undefined,
        commandDue: ({ id }) => this.events.push(`command ${id}`),
      },
    );
  }

  /** Assigns the task, and sets the phase of the assignment as if its start had been sent. */
  start(task: number): Assignment {
    this.assignments.assign(this.job, task, ATTEMPT, this.machine);
    const assignment = this.job.currentAssignments.get(task);
    assert.ok(assignment);
    assignment.phase = 'sent';
    return assignment;
  }
}

describe('Assignments', () => {
  it('counts a task from its assignment until it ends, and ends it only once', () => {
    const fixture = new Fixture();
    const { assignments, machine } = fixture;
    const assignment = fixture.start(0);
    assert.equal(assignments.count, 1);
    assert.equal(assignments.countByClass.get('c'), 1);
    assert.equal(fixture.teamTaskCount, 1);
    assert.ok(machine.isBusy);
    assignments.end(assignment, 'error');
    assignments.end(assignment, 'error');
    assert.equal(assignments.count, 0);
    assert.equal(assignments.countByClass.size, 0);
    assert.equal(fixture.teamTaskCount, 0);
    assert.equal(machine.idleSince, 1000);
    assert.deepEqual(fixture.events, ['exit error', 'failure error', 'requeue 0']);
  });

  it('ends an assignment immediately, without counting an exit, if its start was not sent', () => {
    const fixture = new Fixture();
    const assignment = fixture.start(0);
    assignment.phase = 'recorded';
    fixture.assignments.stop(assignment, 5, 'preempted');
    assert.equal(assignment.phase, 'ended');
    assert.deepEqual(fixture.events, ['failure unsent', 'requeue 0']);
  });

  it('sends a stop again only when it allows less time than before', () => {
    const fixture = new Fixture();
    const assignment = fixture.start(0);
    fixture.assignments.stop(assignment, 5, 'preempted');
    fixture.assignments.stop(assignment, 5, 'preempted');
    assert.deepEqual(fixture.events, ['command n-1']);
    fixture.assignments.stop(assignment, 0, 'cancelled');
    assert.equal(fixture.events.length, 2);
    assert.equal(assignment.stop?.graceS, 0);
  });

  it('keeps a completed assignment until the completion is recorded', () => {
    const fixture = new Fixture();
    const assignment = fixture.start(0);
    assignment.runningAt = 400;
    fixture.assignments.end(assignment, 'done');
    assert.deepEqual(fixture.events, ['completed in 600', 'success', 'done 0']);
    assert.equal(fixture.machine.assignments.size, 1);
    fixture.assignments.completionRecorded(fixture.job, 0);
    assert.equal(fixture.machine.assignments.size, 0);
  });

  it('requeues all members of a gang together, after the last of them is gone', () => {
    const fixture = new Fixture(acceptedJob({ kind: 'gang' }));
    const first = fixture.start(0);
    const second = fixture.start(1);
    fixture.assignments.end(first, 'lost');
    assert.equal(second.stop?.reason, 'gang lost a member');
    assert.ok(!fixture.events.some((event) => event.startsWith('requeue')));
    fixture.assignments.end(second, 'stopped');
    assert.deepEqual(fixture.events.slice(-2), ['requeue 1', 'requeue 0']);
  });

  it('makes the later attempt current if a task is restored on two machines', () => {
    const { assignments, job, machine } = new Fixture();
    const request = { cpus: 1, gpus: 0, memoryGb: 1 };
    const recorded = {
      ...{ jobId: 'req-1', team: 't', request, checkpointSaveS: 0, task: 0 },
      assignedAtWallClock: 0,
    };
    assignments.restore(newMachine('n-2'), { ...recorded, attempt: 7 }, 0);
    assignments.restore(machine, { ...recorded, attempt: 6 }, 0);
    assert.equal(job.currentAssignments.get(0)?.attempt, 7);
    assert.equal(assignments.count, 2);
  });
});
