import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { acceptedJob, FakeClock } from '../../../test/fakes.js';
import { type Job, planAssignment, type Assignment, Machine } from '../model/entities.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { Heartbeat, TaskStatus } from '../wire/workers.js';
import { Reconciliation, type HeartbeatInProgress } from './reconciliation.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const ATTEMPT = 9;

/** A machine with one task that was started with the answer to report 4. */
class Bench {
  readonly told: string[] = [];
  readonly machine = new Machine('n-1', 0, settings);
  readonly assignment: Assignment;
  readonly reconciliation: Reconciliation;
  startVoided = false;
  deaf = false;

  constructor(readonly job: Job = acceptedJob()) {
    this.machine.agentEpoch = 1;
    this.machine.lastHeartbeatSequence = 5;
    this.assignment = planAssignment(job, 0, ATTEMPT, this.machine, 0);
    Object.assign(this.assignment, { phase: 'sent', startSentSequence: 4 });
    this.machine.assignments.set(this.assignment.name, this.assignment);
    job.currentAssignments.set(0, this.assignment);
    this.reconciliation = new Reconciliation(
      new FakeClock(1000),
      {
        jobs: new Map([[job.spec.id, job]]),
        markDone: (_, task) => this.told.push(`done ${task}`),
      },
      { end: (_, outcome) => this.told.push(`end ${outcome}`) },
      { voidDirectStart: () => this.startVoided, recordLostStart: () => this.deaf },
      {
        placementInputChanged: () => undefined,
        imagesChanged: ({ id }) => this.told.push(`images ${id}`),
      },
    );
  }

  /** A report of this number, under our term if not said otherwise. */
  handled(seq: number, sentUnderThisTerm = true): HeartbeatInProgress {
    const heartbeat: Heartbeat = {
      ...{ machine: 'n-1', addr: '10.1.0.1:9', type: 'g', zone: 'a', spot: false },
      ...{ agentEpoch: 1, sequence: seq, fencingToken: 0, spotNoticeS: null, tasks: [] },
    };
    return {
      machine: this.machine,
      heartbeat,
      heartbeatNumber: seq,
      sentUnderThisTerm,
      commands: [],
    };
  }

  /** The orders that follow from one listed task, in words. */
  list(task: Partial<TaskStatus>, sentUnderThisTerm = true): string[] {
    const handled = this.handled(5, sentUnderThisTerm);
    const usual = {
      name: 'req-1/0',
      attempt: ATTEMPT,
      cause: null,
      checkpointSaved: false,
    } as const;
    this.reconciliation.reconcileReportedTask(handled, { ...usual, state: 'running', ...task });
    return handled.commands.map(({ op, name }) => `${op} ${name}`);
  }

  missing(seq: number): void {
    this.reconciliation.reconcileMissingTask(this.handled(seq), this.assignment);
  }
}

describe('reconciliation', () => {
  it('follows a task, and learns of its image', () => {
    const bench = new Bench();
    assert.deepEqual(bench.list({}), []);
    assert.equal(bench.assignment.phase, 'seen');
    assert.equal(bench.assignment.runningAt, 1000);
    assert.equal(bench.assignment.lastHeartbeatNumber, 5);
    assert.deepEqual(bench.told, ['images n-1']);
  });

  it('stops what is not on record', () => {
    const bench = new Bench();
    assert.deepEqual(bench.list({ attempt: ATTEMPT - 1 }), ['stop req-1/0']);
    assert.equal(bench.assignment.phase, 'sent');
  });

  it('clears an exit at once, a completion only when it is on record', () => {
    const bench = new Bench();
    assert.deepEqual(bench.list({ state: 'exited', cause: 'error' }), ['forget req-1/0']);
    assert.deepEqual(bench.told.splice(0), ['end error']);
    assert.deepEqual(bench.list({ state: 'exited', cause: 'done' }), []);
    assert.deepEqual(bench.told, ['end done', 'done 0']);
    bench.job.doneRecorded[0] = 1;
    assert.deepEqual(bench.list({ state: 'exited', cause: 'done' }), ['forget req-1/0']);
  });

  it('believes no exit but a completion from before the term', () => {
    const bench = new Bench();
    assert.deepEqual(bench.list({ state: 'exited', cause: 'error' }, false), []);
    assert.equal(bench.told.length, 0);
    bench.list({ state: 'exited', cause: 'done' }, false);
    assert.ok(bench.told.includes('end done'));
  });

  it('starts a part of a gang again while the others fetch their image', () => {
    const bench = new Bench(acceptedJob({ kind: 'gang' }));
    const other = planAssignment(bench.job, 1, ATTEMPT, new Machine('n-2', 0, settings), 0);
    bench.job.currentAssignments.set(1, other);
    const orders = bench.list({ state: 'exited', cause: 'alone' });
    assert.deepEqual(orders, ['forget req-1/0', 'start req-1/0']);
    assert.equal(bench.assignment.startSentSequence, 5);
    other.state = 'waiting';
    assert.deepEqual(bench.list({ state: 'exited', cause: 'alone' }), ['forget req-1/0']);
    assert.deepEqual(bench.told, ['end alone']);
  });

  it('takes absence for proof only after the start was settled', () => {
    const bench = new Bench();
    bench.missing(4);
    assert.equal(bench.assignment.phase, 'sent');
    bench.startVoided = true;
    bench.missing(5);
    assert.equal(bench.assignment.phase, 'sent', 'a direct start may yet come');
    bench.startVoided = false;
    bench.missing(5);
    assert.equal(bench.assignment.phase, 'recorded');
    assert.deepEqual(bench.told, []);
  });

  it('ends what was there and is not, and what does not get to a deaf machine', () => {
    const seen = new Bench();
    seen.assignment.phase = 'seen';
    seen.missing(5);
    assert.deepEqual(seen.told, ['end lost']);
    const unheard = new Bench();
    unheard.deaf = true;
    unheard.missing(5);
    assert.deepEqual(unheard.told, ['end unsent']);
  });
});
