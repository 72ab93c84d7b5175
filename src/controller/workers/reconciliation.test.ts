import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { acceptedJob, FakeClock } from '../../../test/fakes.js';
import { ATTEMPT, heartbeat, newMachine, taskStatus } from '../../../test/workers-fixture.js';
import { type Assignment, type Job, planAssignment } from '../model/entities.js';
import type { TaskStatus } from '../wire/workers.js';
import { type HeartbeatInProgress, Reconciliation } from './reconciliation.js';

/** A machine with one task whose start was sent with the response to heartbeat 4. */
class Fixture {
  readonly events: string[] = [];
  readonly machine = newMachine();
  readonly assignment: Assignment;
  /** Whether a direct start may still be carried out. */
  directStartPending = false;
  /** Whether the machine is taken to receive no responses. */
  receivesNoResponses = false;
  private readonly reconciliation: Reconciliation;

  constructor(readonly job: Job = acceptedJob()) {
    this.machine.agentEpoch = 1;
    this.machine.lastHeartbeatSequence = 5;
    this.assignment = planAssignment(job, 0, ATTEMPT, this.machine, 0);
    this.assignment.phase = 'sent';
    this.assignment.startSentSequence = 4;
    this.machine.assignments.set(this.assignment.name, this.assignment);
    job.currentAssignments.set(0, this.assignment);
    this.reconciliation = new Reconciliation(
      new FakeClock(1000),
      {
        jobs: new Map([[job.spec.id, job]]),
        markDone: (_, task) => this.events.push(`done ${task}`),
      },
      { end: (_, outcome) => this.events.push(`end ${outcome}`) },
      {
        voidDirectStart: () => this.directStartPending,
        recordLostStart: () => this.receivesNoResponses,
      },
      {
        placementInputChanged: () => undefined,
        imagesChanged: ({ id }) => this.events.push(`images ${id}`),
      },
    );
  }

  /** A listed task in a heartbeat of number 5; returns the commands that follow, as `op task`. */
  reconcileReportedTask(task: Partial<TaskStatus>, sentUnderThisTerm = true): string[] {
    const inProgress = this.heartbeatInProgress(5, sentUnderThisTerm);
    this.reconciliation.reconcileReportedTask(inProgress, taskStatus(ATTEMPT, task));
    return inProgress.commands.map(({ op, name }) => `${op} ${name}`);
  }

  /** A heartbeat of this number lacks the task. */
  reconcileMissingTask(sequence: number): void {
    const inProgress = this.heartbeatInProgress(sequence, true);
    this.reconciliation.reconcileMissingTask(inProgress, this.assignment);
  }

  private heartbeatInProgress(sequence: number, sentUnderThisTerm: boolean): HeartbeatInProgress {
    return {
      machine: this.machine,
      heartbeat: heartbeat({ sequence }),
      heartbeatNumber: sequence,
      sentUnderThisTerm,
      commands: [],
    };
  }
}

describe('Reconciliation of a listed task', () => {
  it('takes over its state, and records its image', () => {
    const fixture = new Fixture();
    assert.deepEqual(fixture.reconcileReportedTask({}), []);
    assert.equal(fixture.assignment.phase, 'seen');
    assert.equal(fixture.assignment.runningAt, 1000);
    assert.equal(fixture.assignment.lastHeartbeatNumber, 5);
    assert.deepEqual(fixture.events, ['images n-1']);
  });

  it('stops an attempt that is not assigned', () => {
    const fixture = new Fixture();
    const commands = fixture.reconcileReportedTask({ attempt: ATTEMPT - 1 });
    assert.deepEqual(commands, ['stop req-1/0']);
    assert.equal(fixture.assignment.phase, 'sent');
  });

  it('clears an exit at once, but a completion only when that is recorded', () => {
    const fixture = new Fixture();
    const failed = fixture.reconcileReportedTask({ state: 'exited', cause: 'error' });
    assert.deepEqual(failed, ['forget req-1/0']);
    assert.deepEqual(fixture.events.splice(0), ['end error']);
    assert.deepEqual(fixture.reconcileReportedTask({ state: 'exited', cause: 'done' }), []);
    assert.deepEqual(fixture.events, ['end done', 'done 0']);
    fixture.job.doneRecorded[0] = 1;
    const completed = fixture.reconcileReportedTask({ state: 'exited', cause: 'done' });
    assert.deepEqual(completed, ['forget req-1/0']);
  });

  it('ignores an exit that was sent before the term, unless the task is done', () => {
    const fixture = new Fixture();
    const failed = fixture.reconcileReportedTask({ state: 'exited', cause: 'error' }, false);
    assert.deepEqual(failed, []);
    assert.equal(fixture.events.length, 0);
    fixture.reconcileReportedTask({ state: 'exited', cause: 'done' }, false);
    assert.ok(fixture.events.includes('end done'));
  });

  it('restarts a gang member that gave up waiting only while others fetch their image', () => {
    const fixture = new Fixture(acceptedJob({ kind: 'gang' }));
    const other = planAssignment(fixture.job, 1, ATTEMPT, newMachine('n-2'), 0);
    fixture.job.currentAssignments.set(1, other);
    const whileFetching = fixture.reconcileReportedTask({ state: 'exited', cause: 'alone' });
    assert.deepEqual(whileFetching, ['forget req-1/0', 'start req-1/0']);
    assert.equal(fixture.assignment.startSentSequence, 5);
    other.state = 'waiting';
    const afterFetching = fixture.reconcileReportedTask({ state: 'exited', cause: 'alone' });
    assert.deepEqual(afterFetching, ['forget req-1/0']);
    assert.deepEqual(fixture.events, ['end alone']);
  });
});

describe('Reconciliation of a missing task', () => {
  it('sends the start again only after the one before is settled', () => {
    const fixture = new Fixture();
    fixture.reconcileMissingTask(4);
    assert.equal(fixture.assignment.phase, 'sent');
    fixture.directStartPending = true;
    fixture.reconcileMissingTask(5);
    assert.equal(fixture.assignment.phase, 'sent', 'a direct start may yet be carried out');
    fixture.directStartPending = false;
    fixture.reconcileMissingTask(5);
    assert.equal(fixture.assignment.phase, 'recorded');
    assert.deepEqual(fixture.events, []);
  });

  it('ends an assignment as lost that had been seen before', () => {
    const fixture = new Fixture();
    fixture.assignment.phase = 'seen';
    fixture.reconcileMissingTask(5);
    assert.deepEqual(fixture.events, ['end lost']);
  });

  it('ends an assignment as unsent if the machine receives no responses', () => {
    const fixture = new Fixture();
    fixture.receivesNoResponses = true;
    fixture.reconcileMissingTask(5);
    assert.deepEqual(fixture.events, ['end unsent']);
  });
});
