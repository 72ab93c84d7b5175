import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { acceptedJob, FakeClock } from '../../../test/fakes.js';
import { ATTEMPT, heartbeat, newMachine, taskStatus } from '../../../test/workers-fixture.js';
import { type Assignment, type Job, planAssignment } from '../model/entities.js';
import type { TaskStatus } from '../wire/workers.js';
import { type HeartbeatInProgress, Reconciliation } from './reconciliation.js';

/** A machine with one assignment, whose start was sent in the response to heartbeat 4. */
class Fixture {
  readonly events: string[] = [];
  readonly machine = newMachine();
  readonly assignment: Assignment;
  /** Whether the worker may still carry out a direct start. */
  directStartPending = false;
  /** Whether responses are assumed not to reach the machine. */
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

  /** Handles a task listed in heartbeat 5; returns the resulting commands, each as `op task`. */
  reconcileReportedTask(task: Partial<TaskStatus>, sentUnderThisTerm = true): string[] {
    const inProgress = this.heartbeatInProgress(5, sentUnderThisTerm);
    this.reconciliation.reconcileReportedTask(inProgress, taskStatus(ATTEMPT, task));
    return inProgress.commands.map(({ op, name }) => `${op} ${name}`);
  }

  /** Handles a heartbeat with this sequence number that lacks the task. */
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

describe('Reconciliation: tasks listed in a heartbeat', () => {
  it('applies the state of the task, and records its image', () => {
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

  it('clears a failed task at once, but a completed one only after its completion is recorded', () => {
    const fixture = new Fixture();
    const commandsForFailure = fixture.reconcileReportedTask({ state: 'exited', cause: 'error' });
    assert.deepEqual(commandsForFailure, ['forget req-1/0']);
    assert.deepEqual(fixture.events.splice(0), ['end error']);
    assert.deepEqual(fixture.reconcileReportedTask({ state: 'exited', cause: 'done' }), []);
    assert.deepEqual(fixture.events, ['end done', 'done 0']);
    fixture.job.doneRecorded[0] = 1;
    const commandsForCompletion = fixture.reconcileReportedTask({ state: 'exited', cause: 'done' });
    assert.deepEqual(commandsForCompletion, ['forget req-1/0']);
  });

  it('ignores an exit in a heartbeat sent before the term, unless the task is done', () => {
    const fixture = new Fixture();
    const commandsForFailure = fixture.reconcileReportedTask(
      { state: 'exited', cause: 'error' },
      false,
    );
    assert.deepEqual(commandsForFailure, []);
    assert.equal(fixture.events.length, 0);
    fixture.reconcileReportedTask({ state: 'exited', cause: 'done' }, false);
    assert.ok(fixture.events.includes('end done'));
  });

  it('restarts a gang member that stopped waiting, but only while others fetch their image', () => {
    const fixture = new Fixture(acceptedJob({ kind: 'gang' }));
    const other = planAssignment(fixture.job, 1, ATTEMPT, newMachine('n-2'), 0);
    fixture.job.currentAssignments.set(1, other);
    const commandsWhileFetching = fixture.reconcileReportedTask({
      state: 'exited',
      cause: 'alone',
    });
    assert.deepEqual(commandsWhileFetching, ['forget req-1/0', 'start req-1/0']);
    assert.equal(fixture.assignment.startSentSequence, 5);
    other.state = 'waiting';
    const commandsAfterFetching = fixture.reconcileReportedTask({
      state: 'exited',
      cause: 'alone',
    });
    assert.deepEqual(commandsAfterFetching, ['forget req-1/0']);
    assert.deepEqual(fixture.events, ['end alone']);
  });
});

describe('Reconciliation: assigned tasks missing from a heartbeat', () => {
  it('makes a start due again only after the previous start is settled', () => {
    const fixture = new Fixture();
    fixture.reconcileMissingTask(4);
    assert.equal(fixture.assignment.phase, 'sent');
    fixture.directStartPending = true;
    fixture.reconcileMissingTask(5);
    assert.equal(fixture.assignment.phase, 'sent', 'the worker may still carry out a direct start');
    fixture.directStartPending = false;
    fixture.reconcileMissingTask(5);
    assert.equal(fixture.assignment.phase, 'recorded');
    assert.deepEqual(fixture.events, []);
  });

  it('ends an assignment as lost if an earlier heartbeat listed its task', () => {
    const fixture = new Fixture();
    fixture.assignment.phase = 'seen';
    fixture.reconcileMissingTask(5);
    assert.deepEqual(fixture.events, ['end lost']);
  });

  it('ends an assignment as unsent if responses do not reach the machine', () => {
    const fixture = new Fixture();
    fixture.receivesNoResponses = true;
    fixture.reconcileMissingTask(5);
    assert.deepEqual(fixture.events, ['end unsent']);
  });
});
